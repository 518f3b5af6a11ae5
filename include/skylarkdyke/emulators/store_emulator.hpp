#ifndef SKYLARKDYKE_EMULATORS_STORE_EMULATOR_HPP
#define SKYLARKDYKE_EMULATORS_STORE_EMULATOR_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace skylarkdyke::emulators {

/// \brief Where and how a store emulator runs.
struct store_options {
  base::endpoint Listen;
  /// Address of the fault controls; none if empty.
  std::optional<base::endpoint> Control;
  /// Time until a change of the instance list is visible.
  std::chrono::milliseconds InstanceLag{0};
  /// Seed of all random choices.
  std::uint64_t Seed = 1;
};

enum class store_outage {
  None,
  /// The port is closed and all connections are cut.
  Refuse,
  /// Requests are accepted but wait until the outage ends, and then take
  /// effect, although their senders may have given up.
  Hang
};

/// \brief Faults that a store emulator shows.
struct store_faults {
  store_outage Outage = store_outage::None;
  /// Added before each request is handled.
  std::chrono::milliseconds Delay{0};
  /// Number of next writes that take effect but get no answer.
  unsigned LoseAnswers = 0;
  /// Chance of the same for any other write.
  double LoseAnswerProbability = 0;
  /// Number of next key reads that show the state before the key's last change.
  unsigned StaleReads = 0;
};

/// \brief Calls that a store emulator has received.
struct store_counters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t SessionCalls = 0;
  std::uint64_t InstanceCalls = 0;
  std::uint64_t LostAnswers = 0;
  std::uint64_t StaleReads = 0;
};

/// \brief Stand-in for the platform: the parts of the Consul HTTP API that this
/// project uses, in memory.
///
/// Keys, sessions and the instance list survive an outage that is switched by
/// the faults. Differences from Consul: a session has any time to live above
/// zero and ends exactly with it, and a register call replaces all fields.
class store_emulator {
public:
  explicit store_emulator(base::endpoint Listen);
  explicit store_emulator(const store_options &Options);
  ~store_emulator();

  /// \brief Binds and starts to serve.
  /// \return false if an address cannot be bound
  bool start();

  /// \brief Ends all waiting watches and stops.
  void stop();

  /// \brief Replaces the faults; `POST /faults` on the control address does the
  /// same for the members that it names.
  void setFaults(const store_faults &Faults);

  store_faults faults() const;
  store_counters counters() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators

#endif
