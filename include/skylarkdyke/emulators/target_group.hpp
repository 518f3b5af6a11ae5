#ifndef SKYLARKDYKE_EMULATORS_TARGET_GROUP_HPP
#define SKYLARKDYKE_EMULATORS_TARGET_GROUP_HPP

#include "skylarkdyke/emulators/target_emulator.hpp"

#include <optional>

namespace skylarkdyke::emulators {

/// \brief Emulated targets of one process with an optional control port.
///
/// `GET /journal` lists the runs of all targets, `GET /behaviour` their
/// behaviour. `POST /behaviour` changes the fields that its JSON object names,
/// at the target whose address is in "target", or at all. `POST /crash` with
/// {"target":…,"down_ms":…} crashes one or all.
class target_group {
public:
  /// \param Control address of the control port, if any
  explicit target_group(std::optional<base::endpoint> Control);
  ~target_group();

  /// \brief Adds a target; only before start().
  target_emulator &add(base::endpoint Listen, target_behaviour Behaviour);

  /// \brief Binds all addresses and starts to serve.
  /// \return the first address that cannot be bound, if any
  std::optional<base::endpoint> start();
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators

#endif
