#ifndef SKYLARKDYKE_MEMBERSHIP_MESSAGES_HPP
#define SKYLARKDYKE_MEMBERSHIP_MESSAGES_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/base/store_version.hpp"
#include "skylarkdyke/quotas/messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \brief Which entries are live, and the datagrams that tell entries so.
namespace skylarkdyke::membership {

/// Requests per second by service.
using demand_by_service = std::map<std::string, double>;

/// \brief Weights in the division of a limit among entries, by service.
struct share_weights {
  /// Weight for services that are not listed.
  double Default = 0;
  std::map<std::string, double> ByService;

  /// \return the weight for a service
  double of(const std::string &Service) const;
};

/// \brief An entry that is silent, but may still use its part of limits.
struct silent_holder {
  base::endpoint MeshAddress;
  share_weights Weights;
  /// Time for which its part stays reserved. Each entry passes on what is left.
  std::chrono::milliseconds ReservedFor{0};
};

/// \brief Status that an entry reports about itself in each heartbeat.
struct entry_status {
  std::string Name;
  /// Differs between the starts of the entry's process.
  std::uint64_t Incarnation = 0;
  base::domain_name Domain;
  /// Address to which heartbeats are sent.
  base::endpoint MeshAddress;
  /// Address at which callers connect.
  base::endpoint FrontAddress;
  bool Ready = false;
  /// The entry is shutting down and must not be assigned to callers.
  bool Leaving = false;
  /// False while the entry watches the store and its calls fail.
  bool StoreReachable = true;
  /// The entry has its state from a listing of the store, which may be a copy,
  /// and from no entry that knows more.
  bool StateFromListing = false;
  /// Store version of the latest change that the entry has applied.
  base::store_version ChangeVersion;
  /// Version of the configuration in force there; zero if there is none.
  std::uint64_t ConfigurationVersion = 0;
  /// Time since the store had no newer change; nothing if not known.
  std::optional<std::chrono::milliseconds> StateAge;
  /// Requests per second that the entry's processor and link can handle.
  double Capacity = 1;
  /// Requests per second from the entry's callers.
  demand_by_service Demand;
  /// Mesh addresses of entries that the receiver should contact.
  std::vector<base::endpoint> KnownAddresses;
  /// Added to the demand for each service, see share_holders.
  double BaseWeight = 0;
  /// Incarnations of the entries of the region that the sender hears; empty
  /// without full mesh.
  std::vector<std::uint64_t> HeardIncarnations;
  std::vector<silent_holder> SilentHolders;
  /// Time until the entry's next heartbeat to the receiver.
  std::chrono::milliseconds NextHeartbeatIn{500};
};

/// \brief Another entry as reported by a relay.
struct relayed_entry {
  /// Without name, incarnation, state, demand and known addresses.
  entry_status Status;
  /// Time for which the entry counts as live if nothing more is heard of it.
  /// Each relay passes on what is left, so that a dead entry is forgotten no
  /// matter how often it is reported.
  std::chrono::milliseconds LiveFor{0};
};

/// \brief Totals of one region, as counted by one of its relays.
struct region_summary {
  base::region_name Region;
  unsigned EntryCount = 0;
  demand_by_service Demand;
  /// Sum of the weights of the region's entries; zero if the sender has not
  /// counted them itself.
  share_weights Weights{};
  /// Number of entries that may use a part of limits, see
  /// member_table::holderCountOf().
  unsigned HolderCount = 0;
};

/// \return the sum of two weights for each service
share_weights operator+(const share_weights &Left, const share_weights &Right);

/// \return the weights that an entry reports
share_weights weightsOf(const entry_status &Status);

/// \brief What a relay tells the entries of its region, and in a shorter form
/// the relays of other regions.
struct digest {
  entry_status Sender;
  std::vector<relayed_entry> Entries;
  std::vector<region_summary> Summaries;
};

/// \brief Changes of the steering state, encoded by the sender's state.
struct state_update {
  base::endpoint From;
  std::string Changes;
};

using mesh_message = std::variant<entry_status, digest, state_update,
                                  quotas::token_request, quotas::token_grant>;

/// \brief Encodes a message as CBOR.
std::string encode(const entry_status &Status);
std::string encode(const digest &Digest);
std::string encode(const state_update &Update);
std::string encode(const quotas::token_request &Request);
std::string encode(const quotas::token_grant &Grant);

/// \brief Decodes a message.
/// \return the message, or nothing if the bytes are not a message of the
/// current version
std::optional<mesh_message> decodeMessage(const std::string &Bytes);

} // namespace skylarkdyke::membership

#endif
