#ifndef SKYLARKDYKE_TESTS_SUPPORT_STORE_FIXTURE_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_STORE_FIXTURE_HPP

#include "skylarkdyke/emulators/store_emulator.hpp"
#include "skylarkdyke/store/client.hpp"
#include "support/free_port.hpp"

#include <functional>
#include <thread>

namespace test_support {

/// \brief A running store emulator with a client.
struct store_fixture {
  skylarkdyke::base::endpoint Address{"127.0.0.1", freePort()};
  skylarkdyke::emulators::store_emulator Emulator{Address};
  skylarkdyke::store::client Client{Address};

  store_fixture() { Emulator.start(); }

  void fault(const skylarkdyke::emulators::store_faults &Faults) {
    Emulator.setFaults(Faults);
  }
};

/// \brief A deadline this far away.
inline skylarkdyke::base::boot_time in(std::chrono::milliseconds Time) {
  return skylarkdyke::base::boot_clock::now() + Time;
}

/// \brief Waits until a condition holds, for at most the given time.
/// \return whether it holds
inline bool
eventually(const std::function<bool()> &Holds,
           std::chrono::milliseconds Time = std::chrono::seconds(5)) {
  const auto Deadline = in(Time);
  while (!Holds()) {
    if (skylarkdyke::base::boot_clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

} // namespace test_support

#endif
