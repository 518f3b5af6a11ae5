#include "skylarkdyke/emulators/load_generator.hpp"

#include <nlohmann/json.hpp>
#include <unordered_map>

namespace skylarkdyke::emulators {

using nlohmann::json;

namespace {

/// Runs of one request, one attempt or one key.
struct run_count {
  unsigned Begun = 0;
  unsigned Finished = 0;
};

/// Runs of all targets by key, and by path with and without the attempt.
class journal_index {
public:
  /// \return false if the text is not a journal
  bool read(const std::string &Text) {
    const json Journal = json::parse(Text, nullptr, false);
    if (!Journal.is_object() || !Journal.contains("targets"))
      return false;
    for (const json &Target : Journal["targets"])
      for (const json &Run : Target.at("runs"))
        add(Run);
    return true;
  }

  run_count of(const std::string &Name) const {
    const auto Found = Counts.find(Name);
    return Found == Counts.end() ? run_count() : Found->second;
  }

private:
  void add(const json &Run) {
    const auto Path = Run.at("path").get<std::string>();
    const bool Finished = Run.at("finished").get<bool>();
    count(Path, Finished);
    const std::size_t Query = Path.find('?');
    if (Query != std::string::npos)
      count(Path.substr(0, Query), Finished);
    const auto Key = Run.at("key").get<std::string>();
    if (!Key.empty())
      count(Key, Finished);
  }

  void count(const std::string &Name, bool Finished) {
    run_count &Count = Counts[Name];
    ++Count.Begun;
    Count.Finished += Finished ? 1 : 0;
  }

  std::unordered_map<std::string, run_count> Counts;
};

} // namespace

static void check(const load_record &Record, const journal_index &Journal,
                  load_findings &Findings) {
  const run_count Runs = Journal.of(Record.Path);
  // An error answer may come from a target that did not begin to run it.
  if (Record.Outcome == once::outcome::Completed && Record.Status < 500 &&
      Runs.Finished == 0)
    Findings.Lost.push_back(Record.Path);
  if (!Record.IsSafe && Runs.Begun > 1)
    Findings.Doubled.push_back(Record.Path);
  if (Record.IsWrong)
    Findings.Wrong.push_back(Record.Path);
  for (const std::string &Attempt : Record.NotRun)
    if (Journal.of(Attempt).Begun > 0)
      Findings.FalseNotRun.push_back(Attempt);
}

std::optional<load_findings>
verifyLoad(const load_result &Result,
           const std::vector<std::string> &Journals) {
  journal_index Index;
  try {
    for (const std::string &Text : Journals)
      if (!Index.read(Text))
        return std::nullopt;
  } catch (const json::exception &) {
    return std::nullopt;
  }
  load_findings Findings;
  for (const load_record &Record : Result.Records)
    check(Record, Index, Findings);
  return Findings;
}

} // namespace skylarkdyke::emulators
