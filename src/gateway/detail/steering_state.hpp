#ifndef SKYLARKDYKE_GATEWAY_DETAIL_STEERING_STATE_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_STEERING_STATE_HPP

#include "skylarkdyke/gateway/change_source.hpp"
#include "skylarkdyke/gateway/gateway.hpp"
#include "skylarkdyke/placement/target_book.hpp"
#include "skylarkdyke/routing/route_table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace skylarkdyke::gateway::detail {

/// \brief Configuration, targets and evacuations as this entry knows them, from
/// the store or from another entry. Versions never go back.
class steering_state : public change_sink {
public:
  using clock = std::function<base::boot_time()>;
  /// Called with the mesh address of an announced entry.
  using entry_hook = std::function<void(const base::endpoint &)>;

  steering_state(placement::target_book &Book, configuration_decoder Decoder,
                 std::chrono::milliseconds RecordReturnTime, clock Clock);

  void setEntryHook(entry_hook Hook) { OnEntry = std::move(Hook); }

  void replaceAll(const std::vector<routing::store_change> &Items,
                  std::uint64_t NewestRevision, std::uint64_t AsOf) override;
  void apply(const routing::store_change &Change,
             std::uint64_t Revision) override;
  void confirm(std::uint64_t AsOf) override;
  void lose(const std::string &Reason) override;

  /// \brief The routes in force; null before the first configuration.
  const std::shared_ptr<const routing::route_table> &routes() const {
    return Routes;
  }
  /// \brief Whether requests can be steered: configuration and targets are
  /// known.
  bool isComplete() const { return Routes && HasTargets; }
  /// Store revision of the newest change applied.
  std::uint64_t changeRevision() const { return ChangeRevision; }
  /// Store revision up to which all changes are applied.
  std::uint64_t seenRevision() const { return SeenRevision; }

  /// \brief Encodes the whole state as CBOR for another entry.
  std::string encodeSnapshot() const;

  /// \brief Takes over a snapshot that is newer than the own state.
  /// \return false if it is older or cannot be read
  bool adoptSnapshot(const std::string &Bytes);

private:
  void installConfiguration(const std::string &Document);
  base::boot_time removalTime() const;
  void applyOne(const routing::store_change &Change);

  placement::target_book &Book;
  configuration_decoder Decoder;
  std::chrono::milliseconds RecordReturnTime;
  clock Clock;
  entry_hook OnEntry;
  std::shared_ptr<const routing::route_table> Routes;
  std::string Document;
  bool HasTargets = false;
  bool StoreLost = false;
  base::boot_time LostAt{};
  base::boot_time RegainedAt{};
  std::uint64_t ChangeRevision = 0;
  std::uint64_t SeenRevision = 0;
};

} // namespace skylarkdyke::gateway::detail

#endif
