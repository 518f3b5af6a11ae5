#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/telemetry/decision_log.hpp"

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(cli_explain) {
  std::string File = (std::filesystem::temp_directory_path() /
                      ("explain-" + std::to_string(getpid())))
                         .string();
  int Descriptor = open(File.c_str(), O_CREAT | O_TRUNC | O_RDWR, 0600);
  base::boot_time Now{1h};

  void teardown() override {
    close(Descriptor);
    std::filesystem::remove(File);
  }
  std::string content() const {
    std::ostringstream Text;
    Text << std::ifstream(File).rdbuf();
    return Text.str();
  }
};

// Guards against logs from which a failed request cannot be found.
TEST(cli_explain, FindsTheLinesOfARequest) {
  telemetry::decision_log Log(Descriptor, "edge \"1\"");
  SKYLARKDYKE_DECISION(Log, RequestEnded, Now,
                       {{"request", std::string_view("abc")},
                        {"took_ms", std::chrono::nanoseconds(5ms)}});
  Log.flush();
  LONGS_EQUAL(cli::ExitDone, cli::explainRequest({"abc", File}));
  LONGS_EQUAL(cli::ExitRefused, cli::explainRequest({"ab", File}));
  LONGS_EQUAL(cli::ExitUnreachable, cli::explainRequest({"abc", "/no/file"}));
  LONGS_EQUAL(cli::ExitUsage, cli::explainRequest({}));
  CHECK(content().find("\"number\":505") != std::string::npos);
  CHECK(content().find("\"took_ms\":5.000") != std::string::npos);
}

// Guards against logs that grow without bound under load, and against lines
// that are lost without a trace.
TEST(cli_explain, TheLogDropsAndCountsWhatIsTooMuch) {
  telemetry::decision_log Log(Descriptor, "edge");
  for (int I = 0; I < 1000; ++I)
    SKYLARKDYKE_DECISION(Log, RequestEnded, Now, {{"status", std::int64_t{1}}});
  Now += 2s;
  SKYLARKDYKE_DECISION(Log, RequestEnded, Now, {{"status", std::int64_t{1}}});
  Log.flush();
  const std::string Text = content();
  LONGS_EQUAL(telemetry::decision_log::MaxLinesPerSecond + 1,
              std::count(Text.begin(), Text.end(), '\n'));
  CHECK(Text.find("\"dropped_lines\":600") != std::string::npos);
}
