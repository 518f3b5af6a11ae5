#ifndef SKYLARKDYKE_ENTRY_ENTRY_HPP
#define SKYLARKDYKE_ENTRY_ENTRY_HPP

#include "skylarkdyke/settings/settings.hpp"

#include <memory>

namespace skylarkdyke::entry {

/// \brief One entry instance: all its threads and state.
class entry {
public:
  explicit entry(settings::entry_settings Settings);
  ~entry();

  /// \brief Binds the ports and starts all threads.
  /// \return false if an address cannot be bound
  bool start();

  /// \brief Stops gracefully.
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entry

#endif
