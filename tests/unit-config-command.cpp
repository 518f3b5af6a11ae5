#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/http/client.hpp"
#include "support/sample_config.hpp"
#include "support/store_fixture.hpp"

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
// CppUTest must be included last because it defines "new" as a macro.

#include <CppUTest/TestHarness.h>

DECLARE_string(store);
DECLARE_string(operator);
DECLARE_uint64(expect);
DECLARE_uint32(timeout_ms);

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(config_command) {
  gflags::FlagSaver Flags;
  std::string FileName =
      "config-command-" + std::to_string(test_support::freePort()) + ".json";

  void write(const std::string &Text) const { std::ofstream(FileName) << Text; }

  int submit(std::uint64_t Expected) const {
    FLAGS_operator = "ana";
    FLAGS_expect = Expected;
    return cli::manageConfig({"submit", FileName});
  }

  void teardown() override { std::remove(FileName.c_str()); }
};

// Guards against an exit code that makes a script treat a refusal, a conflict
// or an outage as a success.
TEST(config_command, ExitCodesDistinguishResults) {
  test_support::store_fixture Store;
  write(config::encode(test_support::sampleConfig()));
  CHECK_EQUAL(cli::ExitDone, cli::manageConfig({"check", FileName}));
  CHECK_EQUAL(cli::ExitUsage, cli::manageConfig({"show"}));
  CHECK_EQUAL(cli::ExitUsage, submit(0));
  FLAGS_store = base::toString(Store.Address);
  FLAGS_timeout_ms = 300;
  CHECK_EQUAL(cli::ExitRefused, cli::manageConfig({"show"}));
  CHECK_EQUAL(cli::ExitDone, submit(0));
  CHECK_EQUAL(cli::ExitDone, cli::manageConfig({"show"}));
  CHECK_EQUAL(cli::ExitRefused, submit(0));
  write("{}");
  CHECK_EQUAL(cli::ExitRefused, cli::manageConfig({"check", FileName}));
  CHECK_EQUAL(cli::ExitRefused, submit(1));
  emulators::store_faults Faults;
  Faults.Outage = emulators::store_outage::Refuse;
  Store.fault(Faults);
  CHECK_EQUAL(cli::ExitUnreachable, cli::manageConfig({"show"}));
}

// Guards against a fault control that ignores a misspelled fault, so that a
// test would run without the fault.
TEST(config_command, FaultControlRefusesUnknownFaults) {
  const base::endpoint Control{"127.0.0.1", test_support::freePort()};
  emulators::store_emulator Emulator(
      {{"127.0.0.1", test_support::freePort()}, Control, 0ms, 1});
  CHECK_TRUE(Emulator.start());
  const auto Post = [&](const char *Body) {
    http::request Request;
    Request.Method = "POST";
    Request.Target = "/faults";
    Request.Body = Body;
    return http::fetch(Control, Request, {test_support::in(2s), 4096, -1})
        .value()
        .Status;
  };
  CHECK_EQUAL(200, Post(R"({"outage":"hang","lose_answers":2})"));
  CHECK_EQUAL(400, Post(R"({"outages":"none"})"));
  CHECK_EQUAL(400, Post(R"({"stale_reads":-1})"));
  CHECK_EQUAL(200, Post(R"({"stale_reads":3})"));
  CHECK_EQUAL(2u, Emulator.faults().LoseAnswers);
  CHECK_EQUAL(3u, Emulator.faults().StaleReads);
  CHECK_TRUE(Emulator.faults().Outage == emulators::store_outage::Hang);
}
