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

/// \brief Value of a field of a log line. Durations are written in
/// milliseconds.
using field_value = std::variant<std::string_view, std::int64_t, double, bool,
                                 std::chrono::nanoseconds>;
/// Name and value of a field of a log line.
using field = std::pair<std::string_view, field_value>;

/// \brief Structured log that writes one JSON object per line to a file
/// descriptor.
///
/// Writing never blocks: lines that the descriptor does not accept wait in a
/// bounded buffer. Lines beyond the buffer size or the rate limit are
/// dropped, and the next line carries their number. Not thread-safe.
class decision_log {
public:
  /// Maximum number of lines per second.
  static constexpr unsigned MaxLinesPerSecond = 400;
  /// Number of buffered bytes beyond which further lines are dropped.
  static constexpr std::size_t MaxBufferedBytes = 256U << 10U;

  /// \param Descriptor open for writing; it is set to non-blocking mode
  /// \param Process process name that each line carries
  decision_log(int Descriptor, std::string Process);

  /// \brief Appends one line with the name and number of the event to the
  /// buffer, unless the line is dropped.
  void write(base::event Event, std::string_view EventName,
             std::initializer_list<field> Fields, base::boot_time Now);

  /// \brief Writes buffered lines to the descriptor until it would block.
  void flush();

  /// \brief Returns the number of lines dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  bool admitLine(base::boot_time Now);

  int Descriptor;
  std::string Process;
  std::string Buffer;
  base::boot_time SecondStart{};
  unsigned LinesInSecond = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDropped = 0;
};

} // namespace skylarkdyke::telemetry

/// Writes an event with its name and number to a decision log. The arguments
/// after NOW are the fields of the line.
#define SKYLARKDYKE_DECISION(LOG, EVENT, NOW, ...)                             \
  (LOG).write(::skylarkdyke::base::event::EVENT, #EVENT, __VA_ARGS__, NOW)

#endif
