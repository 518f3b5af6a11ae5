#ifndef SKYLARKDYKE_EMULATORS_STORE_EMULATOR_HPP
#define SKYLARKDYKE_EMULATORS_STORE_EMULATOR_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <memory>

namespace skylarkdyke::emulators {

/// \brief Stand-in for the platform's store: the Consul KV HTTP API in memory.
class store_emulator {
public:
  explicit store_emulator(base::endpoint Listen);
  ~store_emulator();

  /// \brief Binds and starts to serve.
  /// \return false if the address cannot be bound
  bool start();

  /// \brief Ends all waiting watches and stops.
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators

#endif
