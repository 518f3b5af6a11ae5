#ifndef SKYLARKDYKE_EMULATORS_TARGET_EMULATOR_HPP
#define SKYLARKDYKE_EMULATORS_TARGET_EMULATOR_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <memory>

namespace skylarkdyke::emulators {

/// \brief Behaviour of an emulated target.
struct target_behaviour {
  unsigned Slots = 4;
  /// Time that a slot is held for each request.
  std::chrono::microseconds WorkTime{5000};
};

/// \brief Stand-in for a target: runs each request for a fixed time in one of
/// its slots.
class target_emulator {
public:
  target_emulator(base::endpoint Listen, target_behaviour Behaviour);
  ~target_emulator();

  /// \brief Binds and starts to serve.
  /// \return false if the address cannot be bound
  bool start();
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators

#endif
