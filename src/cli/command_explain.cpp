#include "skylarkdyke/cli/commands.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace skylarkdyke::cli {

using nlohmann::ordered_json;

namespace {

struct log_line {
  double Time;
  ordered_json Fields;
};

} // namespace

/// Collects the lines of one log that name a request. Other text before a line,
/// such as a prefix of the collector, is passed over.
static void collect(std::istream &Log, const std::string &RequestId,
                    std::vector<log_line> &Lines) {
  std::string Text;
  while (std::getline(Log, Text)) {
    const std::size_t Begin = Text.find('{');
    if (Begin == std::string::npos || Text.find(RequestId) == std::string::npos)
      continue;
    const auto Fields = ordered_json::parse(Text.substr(Begin), nullptr, false);
    if (Fields.is_object() && Fields.value("request", "") == RequestId)
      Lines.push_back({Fields.value("time_s", 0.0), Fields});
  }
}

static void print(const log_line &Line, double Start) {
  std::printf("%+9.3f s  %-14s %s", Line.Time - Start,
              Line.Fields.value("process", "").c_str(),
              Line.Fields.value("event", "").c_str());
  for (const auto &[Name, Value] : Line.Fields.items())
    if (Name != "time_s" && Name != "process" && Name != "event" &&
        Name != "number" && Name != "request")
      std::printf(" %s=%s", Name.c_str(),
                  Value.is_string() ? Value.get<std::string>().c_str()
                                    : Value.dump().c_str());
  std::printf("\n");
}

int explainRequest(const arguments &Arguments) {
  if (Arguments.empty()) {
    std::cerr << "usage: skylarkdyke explain REQUEST-ID [LOG...]\n";
    return ExitUsage;
  }
  std::vector<log_line> Lines;
  if (Arguments.size() == 1)
    collect(std::cin, Arguments[0], Lines);
  for (std::size_t I = 1; I < Arguments.size(); ++I) {
    std::ifstream Log(Arguments[I]);
    if (!Log) {
      std::cerr << Arguments[I] << ": cannot be read\n";
      return ExitUnreachable;
    }
    collect(Log, Arguments[0], Lines);
  }
  if (Lines.empty()) {
    std::cerr << "no line names request " << Arguments[0]
              << "; one in 64 answered requests is logged\n";
    return ExitRefused;
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const log_line &Left, const log_line &Right) {
                     return Left.Time < Right.Time;
                   });
  for (const log_line &Line : Lines)
    print(Line, Lines.front().Time);
  return ExitDone;
}

} // namespace skylarkdyke::cli
