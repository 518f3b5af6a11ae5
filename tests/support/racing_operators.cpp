#include "support/racing_operators.hpp"

#include <random>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

racing_operators::racing_operators(const cluster &Cluster, std::uint64_t Seed,
                                   trace &Trace)
    : Cluster(Cluster), Trace(Trace), Thread([this, Seed] { run(Seed); }) {}

racing_operators::~racing_operators() { stop(); }

std::vector<submission> racing_operators::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
  return Submissions;
}

void racing_operators::run(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  store::client Client(Cluster.Plan.StoreAddress);
  store::config_store Store(Client);
  while (!Stopping) {
    const auto Loaded = Store.load(base::boot_clock::now() + 1s);
    if (const auto *Document = std::get_if<config::document>(&Loaded))
      race(*Document);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(200 + Random() % 800));
  }
}

/// What an operator was told, in words for the trace.
static std::string toWords(const store::submit_result &Result) {
  if (const auto *Accepted = std::get_if<store::accepted>(&Result))
    return "accepted as " + std::to_string(Accepted->Version);
  static constexpr const char *Names[] = {"accepted", "refused", "conflict",
                                          "unknown", "unavailable"};
  return Names[Result.index()];
}

void racing_operators::race(const config::document &Base) {
  std::vector<submission> Round(2);
  std::vector<std::thread> Operators;
  for (std::size_t Index = 0; Index < Round.size(); ++Index) {
    Round[Index].Number = Submissions.size() + Index + 1;
    Round[Index].ExpectedVersion = Base.Version;
    Round[Index].Operator = Index == 0 ? "ana" : "borys";
    Round[Index].SentAt = std::chrono::system_clock::now();
  }
  Operators.reserve(Round.size());
  for (submission &Each : Round)
    Operators.emplace_back([this, &Base, &Each] {
      config::document Change = Base;
      mark(Change, Base.Version + 1, Each.Number);
      store::client Client(Cluster.Plan.StoreAddress);
      Each.Result = store::config_store(Client).submit(
          Change, Base.Version, base::operator_name(Each.Operator),
          base::boot_clock::now() + 3s);
    });
  for (std::thread &Operator : Operators)
    Operator.join();
  for (submission &Each : Round) {
    Trace.add(Each.Operator + " submitted number " +
              std::to_string(Each.Number) + " on version " +
              std::to_string(Each.ExpectedVersion) + ": " +
              toWords(Each.Result));
    Submissions.push_back(std::move(Each));
  }
}

static bool mayTakeEffect(const submission &Submission) {
  return std::holds_alternative<store::accepted>(Submission.Result) ||
         std::holds_alternative<store::unknown_submission>(Submission.Result);
}

static void judgeSeen(const std::vector<submission> &Submissions,
                      const version_watch &Watch,
                      const std::map<std::uint64_t, std::uint64_t> &Accepted,
                      std::vector<timed_line> &Violations) {
  for (const auto &[Version, Numbers] : Watch.seen())
    for (const auto &[Number, At] : Numbers) {
      const std::string Text = "number " + std::to_string(Number) +
                               " is in force as version " +
                               std::to_string(Version);
      if (Numbers.size() > 1)
        Violations.push_back({At, Text + ", and so is another one"});
      if (Number == 0)
        continue;
      const submission &Each = Submissions.at(Number - 1);
      if (!mayTakeEffect(Each) || Each.ExpectedVersion + 1 != Version)
        Violations.push_back({At, Text + " but " + Each.Operator +
                                      " was told " + toWords(Each.Result)});
      const auto Winner = Accepted.find(Version);
      if (Winner != Accepted.end() && Winner->second != Number)
        Violations.push_back({At, Text + " instead of number " +
                                      std::to_string(Winner->second)});
    }
}

std::vector<timed_line>
judgeSubmissions(const std::vector<submission> &Submissions,
                 const version_watch &Watch, std::uint64_t FinalVersion) {
  std::vector<timed_line> Violations;
  std::map<std::uint64_t, std::uint64_t> Accepted;
  std::set<std::uint64_t> Unknown;
  base::wall_time Last;
  for (const submission &Each : Submissions) {
    Last = Each.SentAt;
    if (std::holds_alternative<store::unknown_submission>(Each.Result))
      Unknown.insert(Each.ExpectedVersion + 1);
    const auto *Won = std::get_if<store::accepted>(&Each.Result);
    if (Won == nullptr)
      continue;
    const std::string Text = "number " + std::to_string(Each.Number) +
                             " was accepted as version " +
                             std::to_string(Won->Version);
    if (!Accepted.emplace(Won->Version, Each.Number).second)
      Violations.push_back({Each.SentAt, Text + ", and so was another one"});
    if (Won->Version > FinalVersion)
      Violations.push_back({Each.SentAt, Text + " but lost"});
  }
  for (std::uint64_t Version = 2; Version <= FinalVersion; ++Version)
    if (Accepted.count(Version) + Unknown.count(Version) == 0)
      Violations.push_back({Last, "version " + std::to_string(Version) +
                                      " exists but was not accepted"});
  judgeSeen(Submissions, Watch, Accepted, Violations);
  return Violations;
}

} // namespace test_support
