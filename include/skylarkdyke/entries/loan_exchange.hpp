#ifndef SKYLARKDYKE_ENTRIES_LOAN_EXCHANGE_HPP
#define SKYLARKDYKE_ENTRIES_LOAN_EXCHANGE_HPP

#include "skylarkdyke/caps/share_ledger.hpp"
#include "skylarkdyke/entries/mesh.hpp"

#include <cstdint>
#include <memory>
#include <mutex>

namespace skylarkdyke::entries {

/// \brief The share ledger with the mutex under which the caller side and the
/// loan exchange use it.
struct guarded_ledger {
  explicit guarded_ledger(base::incarnation_id Self) : Ledger(Self) {}

  std::mutex Mutex;
  caps::share_ledger Ledger;
};

struct loan_exchange_counters {
  /// Requests sent to peers.
  std::uint64_t Asked = 0;
  /// Grants sent to peers.
  std::uint64_t Lent = 0;
  /// Requests of peers without unused share for them.
  std::uint64_t NotLent = 0;
  std::uint64_t Borrowed = 0;
  /// Grants that came too late, repeatedly or unasked.
  std::uint64_t Ignored = 0;
};

/// \brief Lends unused share of caps to peers and borrows from them, every 250
/// ms. Thread-safe.
class loan_exchange {
public:
  /// \brief Adds the handlers to a mesh, before its start.
  /// \param Mesh stopped before the exchange is destroyed
  /// \param Ledger outlives the mesh's thread
  loan_exchange(mesh &Mesh, guarded_ledger &Ledger);
  ~loan_exchange();

  loan_exchange_counters counters() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
