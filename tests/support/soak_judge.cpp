#include "support/soak_judge.hpp"

#include <algorithm>
#include <cstdio>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

// Freezes and outages last up to 4 s, and a caller waits 5 s for an answer.
static constexpr auto ExplainedTime = 10s;
static constexpr std::size_t MaxPrinted = 20;

static bool heard(const told &Told, const char *Outcome) {
  return std::find(Told.Outcomes.begin(), Told.Outcomes.end(), Outcome) !=
         Told.Outcomes.end();
}

static std::string faultOf(const told &Told, std::size_t Runs) {
  if (Told.WrongAnswer)
    return "got an answer of another request";
  if (Told.IsOrder && Runs > 1)
    return "ran " + std::to_string(Runs) + " times";
  if (Runs > 0 && heard(Told, "not-run"))
    return "was told not-run but ran";
  if (Runs == 0 && heard(Told, "completed"))
    return "was told completed but never ran";
  return {};
}

static std::string toWords(base::wall_time Time) {
  const auto Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(
          Time.time_since_epoch());
  return std::to_string(Microseconds.count()) + " us";
}

std::vector<timed_line> judgeRequests(const std::vector<run> &Journal,
                                      const std::vector<told> &Told) {
  // Each request has a path of its own, so that reads are found too. A key may
  // not run under any path, so orders are found by their key.
  std::map<std::string, std::vector<run>> Runs;
  for (const run &Run : Journal)
    Runs[Run.Key.empty() ? Run.Path : Run.Key].push_back(Run);
  std::vector<timed_line> Violations;
  for (const told &Each : Told) {
    if (Each.Outcomes.empty())
      continue;
    const std::vector<run> &Ran = Runs[Each.IsOrder ? Each.Key : Each.Path];
    const std::string Fault = faultOf(Each, Ran.size());
    if (Fault.empty())
      continue;
    std::string Text = (Each.IsOrder ? "order " + Each.Key + " " : "read ") +
                       Each.Path + " " + Fault + "; told:";
    for (const std::string &Outcome : Each.Outcomes)
      Text += " " + Outcome;
    for (const run &Run : Ran)
      Text += "; ran at " + Run.Target + " at " + toWords(Run.Start) +
              (Run.Finished ? "" : ", not finished");
    Violations.push_back({Each.SentAt, Text});
  }
  return Violations;
}

std::vector<timed_line> judgeCaps(const cluster &Cluster,
                                  const std::vector<run> &Journal,
                                  std::chrono::milliseconds Window) {
  std::map<std::string, std::string> RegionOfTarget;
  for (const auto &Target : Cluster.Plan.Targets)
    RegionOfTarget[base::toString(Target.Listen)] =
        Cluster.Plan.Proxy.Regions.at(Target.Domain);
  std::map<std::string, std::vector<base::wall_time>> Starts;
  for (const run &Run : Journal)
    Starts[RegionOfTarget.at(Run.Target)].push_back(Run.Start);
  std::vector<timed_line> Violations;
  for (const config::region &Region : Cluster.Plan.Document.Regions) {
    std::vector<base::wall_time> &Times = Starts[Region.Name.str()];
    std::sort(Times.begin(), Times.end());
    for (std::size_t Last = Region.CapPerSecond; Last < Times.size(); ++Last) {
      const auto Span = std::chrono::duration_cast<std::chrono::milliseconds>(
          Times[Last] - Times[Last - Region.CapPerSecond]);
      if (Span < Window)
        Violations.push_back(
            {Times[Last],
             Region.Name.str() + " began " +
                 std::to_string(Region.CapPerSecond + 1) + " requests in the " +
                 std::to_string(Span.count()) + " ms that end here"});
    }
  }
  return Violations;
}

static std::string offset(base::wall_time At, base::wall_time Start) {
  char Text[32];
  std::snprintf(
      Text, sizeof(Text), "%8.3f s ",
      std::chrono::duration_cast<std::chrono::duration<double>>(At - Start)
          .count());
  return Text;
}

std::string explain(std::vector<timed_line> Violations,
                    const std::vector<timed_line> &Trace,
                    base::wall_time Start) {
  if (Violations.empty())
    return {};
  std::sort(Violations.begin(), Violations.end(),
            [](const timed_line &Left, const timed_line &Right) {
              return Left.At < Right.At;
            });
  const base::wall_time First = Violations[0].At;
  std::string Text =
      std::to_string(Violations.size()) + " violations, first ones:\n";
  for (std::size_t I = 0; I < std::min(MaxPrinted, Violations.size()); ++I)
    Text += "  " + offset(Violations[I].At, Start) + Violations[I].Text + "\n";
  Text += "trace, * before the first violation:\n";
  for (const timed_line &Line : Trace) {
    const bool IsNear =
        Line.At > First - ExplainedTime && Line.At <= First + 5s;
    Text += (IsNear ? "* " : "  ") + offset(Line.At, Start) + Line.Text + "\n";
  }
  return Text;
}

} // namespace test_support
