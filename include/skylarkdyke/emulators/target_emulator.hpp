#ifndef SKYLARKDYKE_EMULATORS_TARGET_EMULATOR_HPP
#define SKYLARKDYKE_EMULATORS_TARGET_EMULATOR_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/emulators/flood.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkdyke::emulators {

/// \brief Behaviour of an emulated target, which may change while it runs.
struct target_behaviour {
  /// Name of the service, for the journal.
  std::string Service;
  /// Requests that run at once.
  unsigned Slots = 4;
  /// Requests that wait for a slot; more are shed.
  unsigned Queue = 0;
  /// Time that a slot is held for each request: fixed, or the mean of an
  /// exponential distribution.
  std::chrono::microseconds WorkTime{5000};
  bool Exponential = false;
  std::uint64_t Seed = 1;
  /// The first runs after a start take ColdFactor times as long.
  unsigned ColdRuns = 0;
  double ColdFactor = 1;
  /// Health is answered 503 and every request is shed.
  bool Draining = false;
  /// GET /load always reports no request in flight.
  bool ReportsIdle = false;
  /// Share of requests that are answered 500 at once.
  double ErrorShare = 0;
  /// Time by which each answer is held back after the work.
  std::chrono::microseconds LateBy{0};
  bool TruncatesAnswers = false;
  bool ClosesWithoutAnswer = false;
  bool AnswersWrongId = false;
  /// Bytes without an end in place of the answers to requests, or to GET
  /// /health as well.
  flood_form Flood = flood_form::None;
  bool FloodsHealth = false;
  /// Wait after each unit of the flood.
  std::chrono::microseconds FloodPause{0};
  /// How long connections are refused after a request whose path contains
  /// "poison".
  std::chrono::milliseconds CrashTime{2000};
};

/// \brief One request that a target began to run.
struct run_record {
  std::string Key;
  std::string RequestId;
  std::string Service;
  std::string Method;
  std::string Path;
  base::wall_time Start;
  base::wall_time End;
  /// False if the run was cancelled, crashed, or has not ended.
  bool Finished = false;
};

/// \brief Stand-in for a target. Runs each request in one of its slots, repeats
/// the Request-Id, stops the work of a closed connection or a passed deadline,
/// and keeps a journal of every run.
///
/// The answer is a JSON object with the path and the Idempotency-Key of its
/// request.
class target_emulator {
public:
  target_emulator(base::endpoint Listen, target_behaviour Behaviour);
  ~target_emulator();

  /// \brief Binds and starts to serve.
  /// \return false if the address cannot be bound
  bool start();
  /// \brief Closes all connections at once.
  void stop();
  /// \brief Replaces the behaviour.
  void configure(target_behaviour Behaviour);
  /// \brief Closes all connections and refuses new ones for some time.
  void crash(std::chrono::milliseconds DownTime);

  const base::endpoint &address() const;
  target_behaviour behaviour() const;
  /// \brief All runs since the start, or the latest MaxJournalRecords.
  std::vector<run_record> journal() const;
  /// \brief Requests in a slot now.
  unsigned inFlight() const;

  static constexpr std::size_t MaxJournalRecords = std::size_t{1} << 20U;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::emulators

#endif
