#ifndef SKYLARKDYKE_ENTRIES_CRASH_EXCHANGE_HPP
#define SKYLARKDYKE_ENTRIES_CRASH_EXCHANGE_HPP

#include "skylarkdyke/entries/mesh.hpp"
#include "skylarkdyke/poison/crash_register.hpp"

#include <functional>
#include <memory>

namespace skylarkdyke::entries {

/// \brief Exchanges reports of target crashes between all entries. A member
/// that connects or reconnects gets the recent reports. Thread-safe.
class crash_exchange {
public:
  /// \brief Callback for each new report of another entry. Called on the mesh
  /// thread.
  using report_handler = std::function<void(const poison::crash_report &)>;

  /// \brief Registers the handlers at a mesh that is not started yet.
  /// \param Mesh must be stopped before the exchange is destroyed
  /// \param OnReport may be empty
  crash_exchange(mesh &Mesh, report_handler OnReport);
  ~crash_exchange();

  /// \brief Sends a report of this entry to all others. The entry's own handler
  /// is not called.
  void report(const poison::crash_report &Report);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
