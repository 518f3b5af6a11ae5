#ifndef SKYLARKDYKE_TELEMETRY_DECISION_LOG_HPP
#define SKYLARKDYKE_TELEMETRY_DECISION_LOG_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/event.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace skylarkdyke::telemetry {

/// \brief Value of a field of a log line. Times are written in milliseconds.
using field_value = std::variant<std::string_view, std::int64_t, double, bool,
                                 std::chrono::nanoseconds>;
using field = std::pair<std::string_view, field_value>;

/// \brief Structured log: one JSON object a line on a file descriptor.
///
/// Never blocks: lines that the descriptor does not take wait in a bounded
/// buffer, and lines beyond the buffer or the rate are dropped and counted in
/// the next line. Not thread-safe.
class decision_log {
public:
  /// Most lines per second.
  static constexpr unsigned MaxLinesPerSecond = 400;
  /// Largest number of bytes that wait for the descriptor.
  static constexpr std::size_t MaxBufferedBytes = 256U << 10U;

  /// \param Descriptor open for writing; it is set to non-blocking mode
  /// \param Process name that stands in each line
  decision_log(int Descriptor, std::string Process);

  /// \brief Writes one line with the event's name and number.
  void write(base::event Event, std::string_view EventName,
             std::initializer_list<field> Fields, base::boot_time Now);

  /// \brief Gives waiting lines to the descriptor as far as it takes them.
  void flush();

  /// Lines that were dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  bool admit(base::boot_time Now);

  int Descriptor;
  std::string Process;
  std::string Buffer;
  base::boot_time SecondStart{};
  unsigned LinesInSecond = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedReported = 0;
};

} // namespace skylarkdyke::telemetry

/// Writes an event to a decision log with its name and number.
#define SKYLARKDYKE_DECISION(LOG, EVENT, NOW, ...)                             \
  (LOG).write(::skylarkdyke::base::event::EVENT, #EVENT, __VA_ARGS__, NOW)

#endif
