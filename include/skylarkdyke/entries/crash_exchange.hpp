#ifndef SKYLARKDYKE_ENTRIES_CRASH_EXCHANGE_HPP
#define SKYLARKDYKE_ENTRIES_CRASH_EXCHANGE_HPP

#include "skylarkdyke/entries/mesh.hpp"
#include "skylarkdyke/poison/crash_register.hpp"

#include <functional>
#include <memory>

namespace skylarkdyke::entries {

/// \brief Sends crash reports to all entries and receives theirs. A member that
/// joins or returns gets the recent reports. Thread-safe.
class crash_exchange {
public:
  /// \brief Called on the mesh thread with each report that is new here.
  using receiver = std::function<void(const poison::crash_report &)>;

  /// \brief Adds the handlers to a mesh, before its start.
  /// \param Mesh stopped before the exchange is destroyed
  crash_exchange(mesh &Mesh, receiver Receive);
  ~crash_exchange();

  /// \brief Sends a report of this entry to all others. It is not handed to
  /// the own receiver.
  void report(const poison::crash_report &Report);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
