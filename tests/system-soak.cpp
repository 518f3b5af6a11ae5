#include "support/environment.hpp"
#include "support/fault_runner.hpp"
#include "support/racing_operators.hpp"
#include "support/soak_judge.hpp"

#include <CppUTest/TestHarness.h>
#include <iostream>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using namespace test_support;

TEST_GROUP(system_soak){};

static constexpr std::uint64_t DefaultSeed = 20261204;
// Length of the faults. Start, the last restarts and the checks add about 7 s.
static constexpr std::uint64_t DefaultSeconds = 18;
static constexpr std::uint64_t LowCap = 100;
// See tests/system-caps.cpp for why it is shorter than the window of the cap.
static constexpr std::chrono::milliseconds JudgedWindow{950};
// G8: an accepted configuration is in force everywhere within 5 s.
static constexpr std::chrono::seconds InForceLimit{5};

static void prepare(cluster &Cluster) {
  config::document &Document = Cluster.Plan.Document;
  for (config::region &Region : Document.Regions)
    Region.CapPerSecond = LowCap;
  // A graceful stop lasts as long as the last lookup answer.
  Document.LookupTtl = 1s;
  mark(Document, Document.Version, 0);
}

static load_shape shapeOf(std::uint64_t Seed) {
  load_shape Shape;
  Shape.Services = {"stock-view", "drop-confirm", "order-archive",
                    "quote-desk"};
  Shape.OrderShare = 0.5;
  Shape.Tries = 4;
  Shape.Threads = 40;
  Shape.Pause = 20ms;
  Shape.Seed = Seed;
  return Shape;
}

static std::uint64_t versionInStore(const cluster &Cluster) {
  store::client Client(Cluster.Plan.StoreListen);
  const auto Loaded =
      store::config_store(Client).load(base::boot_clock::now() + 5s);
  const auto *Document = std::get_if<config::document>(&Loaded);
  return Document == nullptr ? 0 : Document->Version;
}

/// Entries at which the version is not in force or a read is not served until
/// the deadline.
static std::vector<timed_line> judgeRecovery(const cluster &Cluster,
                                             std::uint64_t Version,
                                             base::boot_time Deadline) {
  std::vector<std::string> Late(Cluster.Plan.Entries.size());
  std::vector<std::thread> Threads;
  Threads.reserve(Late.size());
  for (std::size_t Entry = 0; Entry < Late.size(); ++Entry)
    Threads.emplace_back([&Cluster, &Late, Entry, Version, Deadline] {
      const auto Remaining = [Deadline] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            Deadline - base::boot_clock::now());
      };
      std::uint64_t Seen = 0;
      if (!waitUntil(
              [&] {
                const auto Now = readVersion(Cluster, Entry);
                Seen = Now ? Now->Version : 0;
                return Seen == Version;
              },
              Remaining()))
        Late[Entry] += " has version " + std::to_string(Seen) + " instead of " +
                       std::to_string(Version);
      answer Answer;
      if (!waitUntil(
              [&] {
                Answer = Cluster.get(Entry, "stock-view", "/after/the/faults");
                return Answer.Outcome == "completed";
              },
              Remaining()))
        Late[Entry] += " does not serve: " + Answer.Outcome + " " + Answer.Body;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::vector<timed_line> Violations;
  for (std::size_t Entry = 0; Entry < Late.size(); ++Entry)
    if (!Late[Entry].empty())
      Violations.push_back({std::chrono::system_clock::now(),
                            Cluster.Plan.Entries[Entry].Name + Late[Entry]});
  return Violations;
}

static void append(std::vector<timed_line> &To,
                   const std::vector<timed_line> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

static std::string summarize(const std::vector<told> &Told,
                             const std::vector<submission> &Submissions,
                             std::uint64_t Version) {
  std::map<std::string, unsigned> Counts;
  for (const told &Each : Told)
    ++Counts[Each.Outcomes.empty() ? "no key" : Each.Outcomes.back()];
  std::string Text = std::to_string(Told.size()) + " requests:";
  for (const auto &[Outcome, Count] : Counts)
    Text += " " + std::to_string(Count) + " " + Outcome + ",";
  return Text + " " + std::to_string(Submissions.size()) +
         " submissions, version " + std::to_string(Version);
}

namespace {

/// Notes slow round trips through the proxy to the first target. On a machine
/// without free cores the proxy delays requests by varying times, so that a
/// window can show more requests than were sent in it. The trace shows whether
/// a fault of that target was the cause instead.
class proxy_probe {
public:
  proxy_probe(const cluster &Cluster, trace &Trace)
      : Thread([this, &Cluster, &Trace] { run(Cluster, Trace); }) {}
  ~proxy_probe() {
    Stopping = true;
    Thread.join();
  }
  proxy_probe(const proxy_probe &) = delete;
  proxy_probe &operator=(const proxy_probe &) = delete;

private:
  void run(const cluster &Cluster, trace &Trace) const {
    static constexpr auto Slow = 20ms;
    http::request Request;
    Request.Target = "/health";
    for (; !Stopping; std::this_thread::sleep_for(10ms)) {
      const auto Start = base::boot_clock::now();
      Cluster.ask(Cluster.Plan.Document.Targets[0].Address, Request, 100ms);
      const auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
          base::boot_clock::now() - Start);
      if (Time > Slow)
        Trace.add("the health of a target through the proxy took " +
                  std::to_string(Time.count()) + " ms");
    }
  }

  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace

// Guards against faults that no single-fault test shows, because they need two
// or more at the same moment.
TEST(system_soak, InvariantsHoldThroughAMixOfFaults) {
  const auto Seed = fromEnvironment("SKYLARKDYKE_SOAK_SEED", DefaultSeed);
  const std::chrono::seconds Length(
      fromEnvironment("SKYLARKDYKE_SOAK_SECONDS", DefaultSeconds));
  cluster Cluster("rozpalka", 10);
  prepare(Cluster);
  const auto Faults = makeSchedule(Seed, Length, Cluster.Plan);
  std::cout << "\nsoak: SKYLARKDYKE_SOAK_SEED=" << Seed
            << " SKYLARKDYKE_SOAK_SECONDS=" << Length.count() << ", "
            << Faults.size() << " faults, logs in " << Cluster.directory()
            << std::endl;
  CHECK_TRUE(Cluster.start());
  trace Trace;
  version_watch Watch(Cluster);
  proxy_probe Probe(Cluster, Trace);
  background_load Load(Cluster, shapeOf(Seed));
  racing_operators Operators(Cluster, Seed, Trace);
  fault_runner Runner(Cluster, Watch, Trace);
  const auto Start = std::chrono::system_clock::now();
  Runner.run(Faults);
  const auto FaultsEnd = base::boot_clock::now();
  Trace.add("end of all faults");
  // Callers may wait for answers for many seconds. The load exceeds the caps,
  // under which an entry without a seat rightly serves nothing, so its end is
  // not waited for.
  std::vector<told> Told;
  std::thread Ending([&] { Told = Load.stop(); });
  const auto Submissions = Operators.stop();
  const std::uint64_t Version = versionInStore(Cluster);
  // The last submission can have been accepted after the end of the faults.
  const auto Deadline = std::max(FaultsEnd, base::boot_clock::now());
  auto Violations = judgeRecovery(Cluster, Version, Deadline + InForceLimit);
  Ending.join();
  Watch.stop();
  std::cout << "soak: " << summarize(Told, Submissions, Version) << std::endl;
  const auto Journal = Cluster.journal();
  append(Violations, Runner.violations());
  append(Violations, judgeRequests(Journal, Told));
  append(Violations, judgeCaps(Cluster, Journal, JudgedWindow));
  append(Violations, Watch.violations());
  append(Violations, judgeSubmissions(Submissions, Watch, Version));
  std::cout << explain(Violations, Trace.lines(), Start);
  CHECK_EQUAL(0u, Violations.size());
  // The run did real work: the caps were used, and versions changed.
  CHECK_TRUE(Journal.size() >
             static_cast<std::uint64_t>(Length.count()) * LowCap / 2);
  CHECK_TRUE(Version > 2);
}
