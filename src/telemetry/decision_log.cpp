#include "skylarkdyke/telemetry/decision_log.hpp"

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace skylarkdyke::telemetry {

static void appendQuoted(std::string &Line, std::string_view Text) {
  Line += '"';
  for (const char Char : Text) {
    if (Char == '"' || Char == '\\')
      Line += '\\';
    Line += static_cast<unsigned char>(Char) < 0x20 ? ' ' : Char;
  }
  Line += '"';
}

static void appendNumber(std::string &Line, double Number) {
  std::array<char, 32> Digits{};
  const int Count = std::snprintf(Digits.data(), Digits.size(), "%.3f", Number);
  Line.append(Digits.data(), static_cast<std::size_t>(Count));
}

namespace {

struct value_writer {
  std::string &Line;

  void operator()(std::string_view Text) const { appendQuoted(Line, Text); }
  void operator()(std::int64_t Number) const { Line += std::to_string(Number); }
  void operator()(double Number) const { appendNumber(Line, Number); }
  void operator()(bool Flag) const { Line += Flag ? "true" : "false"; }
  void operator()(std::chrono::nanoseconds Time) const {
    appendNumber(Line, std::chrono::duration<double, std::milli>(Time).count());
  }
};

} // namespace

decision_log::decision_log(int Descriptor, std::string Process)
    : Descriptor(Descriptor), Process(std::move(Process)) {
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

bool decision_log::admitLine(base::boot_time Now) {
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    LinesInSecond = 0;
  }
  if (LinesInSecond >= MaxLinesPerSecond || Buffer.size() > MaxBufferedBytes) {
    ++Dropped;
    return false;
  }
  ++LinesInSecond;
  return true;
}

void decision_log::write(base::event Event, std::string_view EventName,
                         std::initializer_list<field> Fields,
                         base::boot_time Now) {
  if (!admitLine(Now))
    return;
  const std::chrono::duration<double> WallTime =
      std::chrono::system_clock::now().time_since_epoch();
  std::string &Line = Buffer;
  Line += "{\"time_s\":";
  appendNumber(Line, WallTime.count());
  Line += ",\"process\":";
  appendQuoted(Line, Process);
  Line += ",\"event\":";
  appendQuoted(Line, EventName);
  Line += ",\"number\":" + std::to_string(base::number(Event));
  for (const auto &[Name, Value] : Fields) {
    Line += ',';
    appendQuoted(Line, Name);
    Line += ':';
    std::visit(value_writer{Line}, Value);
  }
  if (Dropped > ReportedDropped) {
    Line += ",\"dropped_lines\":" + std::to_string(Dropped - ReportedDropped);
    ReportedDropped = Dropped;
  }
  Line += "}\n";
}

void decision_log::flush() {
  while (!Buffer.empty()) {
    const ssize_t Count = ::write(Descriptor, Buffer.data(), Buffer.size());
    if (Count <= 0)
      return;
    Buffer.erase(0, static_cast<std::size_t>(Count));
  }
}

} // namespace skylarkdyke::telemetry
