#ifndef SKYLARKDYKE_ENTRIES_LOAN_EXCHANGE_HPP
#define SKYLARKDYKE_ENTRIES_LOAN_EXCHANGE_HPP

#include "skylarkdyke/caps/share_ledger.hpp"
#include "skylarkdyke/entries/mesh.hpp"

#include <cstdint>
#include <memory>
#include <mutex>

namespace skylarkdyke::entries {

/// \brief Share ledger with the mutex that the caller service and the loan
/// exchange lock while they use it.
struct guarded_ledger {
  explicit guarded_ledger(base::incarnation_id Self) : Ledger(Self) {}

  std::mutex Mutex;
  caps::share_ledger Ledger;
};

/// \brief Event counters of a loan_exchange.
struct loan_exchange_counters {
  /// Loan requests sent to peers.
  std::uint64_t RequestsSent = 0;
  /// Grants sent to peers.
  std::uint64_t GrantsSent = 0;
  /// Requests of peers that were declined for lack of unused share.
  std::uint64_t RequestsDeclined = 0;
  /// Received grants that the share ledger accepted.
  std::uint64_t GrantsAccepted = 0;
  /// Received grants that were late, duplicate or not requested.
  std::uint64_t GrantsIgnored = 0;
};

/// \brief Lends unused share of caps to peers and borrows share from them.
/// Sends loan requests every 250 ms. Thread-safe.
class loan_exchange {
public:
  /// \brief Registers the handlers at a mesh that is not started yet.
  /// \param Mesh must be stopped before the exchange is destroyed
  /// \param Ledger must outlive the mesh's thread
  loan_exchange(mesh &Mesh, guarded_ledger &Ledger);
  ~loan_exchange();

  loan_exchange_counters counters() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
