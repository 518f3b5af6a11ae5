#ifndef SKYLARKDYKE_ENTRIES_MESSAGE_HPP
#define SKYLARKDYKE_ENTRIES_MESSAGE_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/caps/cap.hpp"
#include "skylarkdyke/entries/member.hpp"
#include "skylarkdyke/once/key.hpp"
#include "skylarkdyke/once/witness_table.hpp"
#include "skylarkdyke/poison/crash_register.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkdyke::entries {

/// \brief Describes the sender. It is the first message on each connection and
/// is sent again when the sender's state changes.
struct hello {
  /// The sender. Reachable is not transmitted.
  member Self;
  /// Seat that the sender holds.
  std::optional<std::uint32_t> Seat;
};

/// \brief Current load of one service at one entry.
struct service_load {
  base::service_name Service;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t RequestsPerSecond = 0;
};

/// \brief Periodic message by which peers detect that the sender is alive.
struct heartbeat {
  /// Increases by one with each heartbeat of the sender.
  std::uint64_t Sequence = 0;
  std::uint64_t ConfigVersion = 0;
  bool Leaving = false;
  std::vector<service_load> Loads;
  /// Peer addresses of the members that the sender is connected to. Sent only
  /// when the list has changed, so it is empty in most heartbeats.
  std::vector<base::endpoint> Members;
};

/// \brief Requests a configuration document of at least this version.
struct config_request {
  std::uint64_t Version = 0;
};

/// \brief Reply to a config_request.
struct config_document {
  std::uint64_t Version = 0;
  /// The document, encoded as JSON.
  std::string Text;
};

/// \brief Requests a witness to record the intent to run a request, before the
/// owner of its key sends the request to a target.
struct intent_record {
  std::uint64_t RequestId = 0;
  base::incarnation_id Owner;
  base::incarnation_id Witness;
  /// The complete idempotency key.
  std::string Key;
  base::wall_time Expiry;
};

/// \brief Reply to an intent_record.
struct intent_ack {
  std::uint64_t RequestId = 0;
  once::record_result Result = once::record_result::Full;
};

/// \brief Requests a witness to refuse all later intents of an owner.
struct seal_request {
  std::uint64_t RequestId = 0;
  base::incarnation_id Owner;
  base::incarnation_id Witness;
  std::string Key;
  base::wall_time Expiry;
};

/// \brief Reply to a seal_request.
struct seal_reply {
  std::uint64_t RequestId = 0;
  once::seal_result Result = once::seal_result::NotKnown;
};

/// \brief A message between entries. Times are transmitted in milliseconds,
/// without fractions.
using message =
    std::variant<hello, heartbeat, config_request, config_document,
                 caps::loan_request, caps::loan_grant, intent_record,
                 intent_ack, seal_request, seal_reply, poison::crash_report>;

inline constexpr std::size_t MessageTypeCount = std::variant_size_v<message>;

/// \brief Name of a message type on the wire.
/// \param Index index of the type in message
const char *typeName(std::size_t Index);

} // namespace skylarkdyke::entries

#endif
