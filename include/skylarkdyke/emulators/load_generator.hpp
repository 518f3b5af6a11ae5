#ifndef SKYLARKDYKE_EMULATORS_LOAD_GENERATOR_HPP
#define SKYLARKDYKE_EMULATORS_LOAD_GENERATOR_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/base/names.hpp"
#include "skylarkdyke/once/ledger.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkdyke::emulators {

/// \brief Requests for one service from clients at one address, which decides
/// their region.
struct load_stream {
  base::service_name Service;
  /// Client address for lookups; empty for that of the connection.
  std::string Client;
  double RatePerSecond = 0;
};

/// \brief What to send.
struct load_options {
  /// Entries that are asked for the first lookup, in this order.
  std::vector<base::endpoint> Entries;
  std::vector<load_stream> Streams;
  std::chrono::milliseconds Duration{10000};
  /// Request-Deadline after the arrival.
  std::chrono::milliseconds Deadline{2000};
  /// Share of requests that are POSTs with a key, the others are GETs.
  double KeyedShare = 0;
  /// A keyed request without an answer, or answered unknown, is sent again with
  /// the same key until it has an outcome or RepeatTime has passed.
  bool RepeatsUnknown = false;
  std::chrono::milliseconds RepeatTime{3000};
  /// Threads of each stream. Arrivals wait for a free one, and the wait counts
  /// as latency.
  unsigned Callers = 16;
  std::uint64_t Seed = 1;
};

/// \brief What a caller knows of one request.
struct load_record {
  base::service_name Service;
  /// Path at the target, unique for each request.
  std::string Path;
  bool IsSafe = true;
  /// The last outcome that the caller was told; nothing if no entry answered.
  std::optional<once::outcome> Outcome;
  int Status = 0;
  /// The answer did not belong to the request.
  bool IsWrong = false;
  /// Keys, or for GETs paths, of the attempts that were told not-run.
  std::vector<std::string> NotRun;
  unsigned Attempts = 0;
  /// From the arrival on its schedule, whenever a caller was free.
  std::chrono::nanoseconds Latency{0};
};

/// \brief Result of a load.
struct load_result {
  std::vector<load_record> Records;
  /// Arrivals for which the queue to the callers had no room.
  std::uint64_t Dropped = 0;
};

/// \brief Sends the streams at their rates: open loop, arrivals of a Poisson
/// process, callers as threads with their own lookups and connections.
load_result runLoad(const load_options &Options);

/// \brief Latencies and counts by service as a JSON object.
std::string summarize(const load_result &Result);

/// \brief Requests that went wrong, by path.
struct load_findings {
  /// Told completed, but no target ran them to the end.
  std::vector<std::string> Lost;
  /// Keyed requests that targets began to run more than once.
  std::vector<std::string> Doubled;
  /// Answered with the answer of another request.
  std::vector<std::string> Wrong;
  /// Told not-run although a target began to run them.
  std::vector<std::string> FalseNotRun;

  bool empty() const {
    return Lost.empty() && Doubled.empty() && Wrong.empty() &&
           FalseNotRun.empty();
  }
};

/// \brief Compares what callers were told with the journals of the targets.
/// \param Journals bodies of GET /journal of target_group control ports
/// \return the findings, or nothing if a journal cannot be read
std::optional<load_findings>
verifyLoad(const load_result &Result, const std::vector<std::string> &Journals);

} // namespace skylarkdyke::emulators

#endif
