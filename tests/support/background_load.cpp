#include "support/background_load.hpp"

#include <algorithm>
#include <random>

namespace test_support {

using namespace skylarkdyke;
using nlohmann::json;

background_load::background_load(const cluster &Cluster, load_shape Shape)
    : Cluster(Cluster), Shape(std::move(Shape)) {
  if (this->Shape.Entries.empty())
    for (std::size_t Index = 0; Index < Cluster.Plan.Entries.size(); ++Index)
      this->Shape.Entries.push_back(Index);
  for (unsigned Index = 0; Index < this->Shape.Threads; ++Index)
    Threads.emplace_back([this, Index] { run(Index); });
}

background_load::~background_load() { stop(); }

std::vector<told> background_load::stop() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Told;
}

/// Targets put path and key of a request into its answer.
static bool belongsTo(const answer &Answer, const told &Request) {
  const json Root = json::parse(Answer.Body, nullptr, false);
  return Root.is_object() && Root.value("path", "") == Request.Path &&
         Root.value("key", "") == Request.Key;
}

static void note(told &Told, const answer &Answer) {
  Told.Outcomes.push_back(Answer.Outcome);
  if (Answer.Outcome != "completed")
    Told.Refusal = Answer.Body;
  if (Answer.Outcome == "completed" && Answer.Status == 200 &&
      !belongsTo(Answer, Told))
    Told.WrongAnswer = true;
}

told background_load::order(std::size_t Entry, const std::string &Service,
                            const std::string &Path,
                            std::mt19937_64 &Random) const {
  told Told;
  Told.IsOrder = true;
  Told.Path = Path;
  const std::string Prefix = Cluster.keyPrefix(Entry, Service);
  if (Prefix.empty())
    return Told;
  Told.Key = Prefix + "." + std::to_string(Random());
  Told.SentAt = std::chrono::system_clock::now();
  for (unsigned Try = 0; Try < Shape.Tries; ++Try) {
    note(Told, Cluster.post(Entry, Service, Path, Told.Key));
    if (Told.Outcomes.back() == "completed" ||
        Told.Outcomes.back() == "not-run")
      break;
    Entry = Shape.Entries[Random() % Shape.Entries.size()];
  }
  return Told;
}

told background_load::read(std::size_t Entry, const std::string &Service,
                           const std::string &Path) const {
  told Told;
  Told.Path = Path;
  Told.SentAt = std::chrono::system_clock::now();
  note(Told, Cluster.get(Entry, Service, Path));
  return Told;
}

void background_load::run(unsigned Thread) {
  std::mt19937_64 Random(Shape.Seed * 1000 + Thread);
  std::uniform_real_distribution<double> Share;
  for (unsigned Count = 0; !Stopping; ++Count) {
    const std::size_t Entry = Shape.Entries[Random() % Shape.Entries.size()];
    const std::string &Service =
        Shape.Services[Random() % Shape.Services.size()];
    const std::string Path = "/item/" + std::to_string(Shape.Seed) + "-" +
                             std::to_string(Thread) + "-" +
                             std::to_string(Count);
    told Told = Share(Random) < Shape.OrderShare
                    ? order(Entry, Service, Path, Random)
                    : read(Entry, Service, Path);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      this->Told.push_back(std::move(Told));
    }
    std::this_thread::sleep_for(Shape.Pause);
  }
}

/// Judges one order by the number of its runs.
static std::string judge(const told &Told, unsigned Runs) {
  const auto Heard = [&Told](const char *Outcome) {
    return std::find(Told.Outcomes.begin(), Told.Outcomes.end(), Outcome) !=
           Told.Outcomes.end();
  };
  if (Runs > 1)
    return "ran " + std::to_string(Runs) + " times";
  if (Runs > 0 && Heard("not-run"))
    return "was told not-run but ran";
  if (Runs == 0 && Heard("completed"))
    return "was told completed but never ran";
  return {};
}

std::string firstNotCompleted(const std::vector<told> &Told) {
  for (const told &Each : Told)
    if (Each.Outcomes.empty() || Each.Outcomes.back() != "completed")
      return Each.Path + ": " +
             (Each.Outcomes.empty() ? "no key" : Each.Outcomes.back()) + " " +
             Each.Refusal;
  return {};
}

std::vector<std::string> findViolations(const cluster &Cluster,
                                        const std::vector<told> &Told) {
  const auto Runs = Cluster.runsByKey();
  std::vector<std::string> Violations;
  for (const told &Each : Told) {
    if (Each.WrongAnswer)
      Violations.push_back(Each.Path + " got an answer of another request");
    if (!Each.IsOrder || Each.Key.empty())
      continue;
    const auto Found = Runs.find(Each.Key);
    const std::string Fault =
        judge(Each, Found == Runs.end() ? 0 : Found->second);
    if (Fault.empty())
      continue;
    std::string Line = "order " + Each.Key + " " + Fault + "; told:";
    for (const std::string &Outcome : Each.Outcomes)
      Line += " " + Outcome;
    Violations.push_back(Line);
  }
  return Violations;
}

std::size_t largestWindow(std::vector<base::wall_time> Starts,
                          std::chrono::milliseconds Window) {
  std::sort(Starts.begin(), Starts.end());
  std::size_t Largest = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Starts.size(); ++Last) {
    while (Starts[Last] - Starts[First] >= Window)
      ++First;
    Largest = std::max(Largest, Last - First + 1);
  }
  return Largest;
}

} // namespace test_support
