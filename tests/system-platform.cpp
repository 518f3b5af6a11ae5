#include "support/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using test_support::cluster;

TEST_GROUP(system_platform){};

static bool listsInstance(const cluster &Cluster, std::size_t Entry) {
  const auto &Plan = Cluster.Plan.Entries.at(Entry);
  http::request Request;
  Request.Method = "PUT";
  Request.Target = "/v1/agent/service/register";
  Request.Body = nlohmann::json{{"ID", Plan.Name},
                                {"Name", "skylarkdyke"},
                                {"Address", Plan.PeerAddress.Address},
                                {"Port", Plan.PeerAddress.Port}}
                     .dump();
  return Cluster.ask(Cluster.Plan.StoreListen, Request).Status == 200;
}

// Guards against entries that find each other only by addresses in their
// settings, which a replaced instance does not keep.
TEST(system_platform, EntriesWithoutSeedsFindEachOtherByTheInstanceList) {
  cluster Cluster("rozpalka", 3);
  for (auto &Entry : Cluster.Plan.Entries) {
    const std::size_t Seeds = Entry.Settings.find("seeds = [");
    Entry.Settings.erase(Seeds, Entry.Settings.find('\n', Seeds) - Seeds + 1);
  }
  CHECK_TRUE(Cluster.start());
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    CHECK_TRUE(listsInstance(Cluster, Entry));
  // Entry 0 can name the entry of another region only once it knows it.
  http::request Lookup;
  Lookup.Target = "/v1/lookup?service=stock-view&client=" +
                  Cluster.Plan.CallerSources.at("pomorze");
  CHECK_TRUE(test_support::waitUntil(
      [&] {
        const auto Answer =
            Cluster.ask(Cluster.Plan.Entries[0].CallerAddress, Lookup);
        const auto Root = nlohmann::json::parse(Answer.Body, nullptr, false);
        return Root.is_object() && Root.contains("entries") &&
               !Root["entries"].empty() &&
               Root["entries"][0].value("region", "") == "pomorze";
      },
      std::chrono::seconds(10)));
}
