#ifndef SKYLARKDYKE_NET_MEMORY_ACCOUNT_HPP
#define SKYLARKDYKE_NET_MEMORY_ACCOUNT_HPP

#include "skylarkdyke/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace skylarkdyke::net {

/// \brief Bounds the memory that is held for callers, over all connections.
///
/// Each connection, request and waiting response has a charge. A charge that
/// does not fit evicts others that have made no progress; if that does not make
/// enough room, it is refused. Requests that were passed on are never evicted.
/// Not thread-safe.
class memory_account {
public:
  /// Largest charge that may use the reserved part of the account, so that
  /// ordinary requests are served while large ones fill the rest.
  static constexpr std::size_t MaxSmallBytes = 131072;
  /// Time without progress after which a charge may be evicted.
  static constexpr std::chrono::seconds MinStallTime{2};

  /// \param Limit maximum number of bytes of all charges together
  explicit memory_account(std::size_t Limit) : Limit(Limit) {}
  memory_account(const memory_account &) = delete;
  memory_account &operator=(const memory_account &) = delete;

  /// \brief Stage of what is charged.
  enum class stage {
    /// An open connection. It is not evicted: it holds little.
    Connected,
    /// A request that is not complete, so that it has not been passed on.
    Receiving,
    /// A request that may have been passed on. It is not evicted.
    Running,
    /// A response that the caller has not read yet.
    Sending,
  };

  /// \brief What the account has done since the start.
  struct counts {
    std::uint64_t RefusedCharges = 0;
    std::uint64_t EvictedRequests = 0;
    std::uint64_t EvictedResponses = 0;
  };

  /// \brief Bytes held for one connection, request or response.
  class charge {
  public:
    /// \param Address address of the caller, without port
    /// \param OnEvict called if what is charged must end; it must not change a
    /// charge before it has returned
    charge(std::shared_ptr<memory_account> Account, std::string Address,
           stage Stage, base::boot_time Now, std::function<void()> OnEvict);
    ~charge();
    charge(const charge &) = delete;
    charge &operator=(const charge &) = delete;

    /// \brief Changes the number of bytes held.
    /// \return false if there is no room for more; the number stays as it is
    bool resize(std::size_t NewBytes, base::boot_time Now);

    /// \brief Changes the number of bytes held for a response that has come. It
    /// may evict charges that have made progress; a small response always gets
    /// room.
    /// \return false if there is no room for more; the number stays as it is
    bool resizeForResponse(std::size_t NewBytes, base::boot_time Now);

    /// \brief Frees all bytes. What is charged from now on, if anything, takes
    /// the place of what was evicted.
    void release();

    /// \brief Starts the next stage, which counts as progress.
    void setStage(stage NewStage, base::boot_time Now);

    /// \brief Notes that the peer has sent or read a considerable part.
    void recordProgress(base::boot_time Now) { ProgressAt = Now; }

    std::size_t bytes() const { return Bytes; }
    bool isEvicted() const { return Evicted; }

  private:
    friend class memory_account;
    void setBytes(std::size_t NewBytes);

    std::shared_ptr<memory_account> Account;
    std::string Address;
    stage Stage;
    base::boot_time ProgressAt;
    std::function<void()> OnEvict;
    std::size_t Bytes = 0;
    bool Evicted = false;
  };

  std::size_t heldBytes() const { return HeldBytes; }
  std::size_t limit() const { return Limit; }
  const counts &totals() const { return Totals; }

private:
  /// Which charges may be evicted.
  enum class eviction { Stalled, Any };

  /// Part of the limit, in quarters, for large charges together, and for all
  /// charges of one address.
  static constexpr std::size_t ShareQuarters = 3;

  std::size_t shareLimit() const { return Limit / 4 * ShareQuarters; }
  std::size_t bytesOf(const std::string &Address) const;
  bool makeRoom(const charge &For, std::size_t NewBytes, eviction Mode,
                base::boot_time Now);
  bool mayEvict(const charge &Candidate, const charge &For, std::size_t Growth,
                eviction Mode, base::boot_time Now) const;
  std::vector<charge *> findCandidates(const charge &For, std::size_t Growth,
                                       bool OfAddressOnly, eviction Mode,
                                       base::boot_time Now);
  bool evict(std::vector<charge *> Candidates, std::size_t NeededBytes,
             base::boot_time Now);

  std::size_t Limit;
  std::size_t HeldBytes = 0;
  counts Totals;
  /// Charges of more than zero bytes.
  std::unordered_set<charge *> Charges;
  std::unordered_map<std::string, std::size_t> BytesOfAddress;
};

} // namespace skylarkdyke::net

#endif
