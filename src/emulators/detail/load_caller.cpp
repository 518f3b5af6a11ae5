#include "emulators/detail/load_caller.hpp"

#include "skylarkdyke/callers/problem_code.hpp"
#include "skylarkdyke/config/codec.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <thread>

namespace skylarkdyke::emulators::detail {

using callers::problem_code;
using nlohmann::json;
using once::outcome;
using std::chrono::milliseconds;

static constexpr milliseconds LookupLimit{500};
static constexpr milliseconds ConnectLimit{250};
/// Entries answer at the deadline; the answer arrives a little later.
static constexpr milliseconds AnswerGrace{100};
static constexpr milliseconds RepeatPause{50};
static constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 21U;

load_caller::load_caller(const load_options &Options, const load_stream &Stream)
    : Options(Options), Stream(Stream) {}

std::optional<load_caller::lookup_result>
load_caller::lookUpAt(const base::endpoint &Entry) {
  http::request Request;
  Request.Target = "/v1/lookup?service=" + Stream.Service.str();
  if (!Stream.Client.empty())
    Request.Target += "&client=" + Stream.Client;
  const base::boot_time Now = base::boot_clock::now();
  auto Lease = Pool.acquire(Entry, Now + ConnectLimit);
  if (!Lease)
    return std::nullopt;
  const auto Answer =
      Lease.value().exchange(Request, {Now + LookupLimit, MaxAnswerBytes, -1});
  if (!Answer || Answer.value().Status != 200)
    return std::nullopt;
  const json Body = json::parse(Answer.value().Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("entries"))
    return std::nullopt;
  lookup_result Result;
  Result.ExpiresAt = config::parseTime(Body.value("expires_at", ""))
                         .value_or(base::wall_time());
  for (const json &One : Body["entries"])
    if (const auto Address = base::parseEndpoint(One.value("address", "")))
      Result.Entries.push_back({*Address, One.value("key_prefix", "")});
  return Result;
}

/// Entries to try, best first; asks for them again when the answer has expired.
std::vector<base::endpoint> load_caller::entries() {
  if (std::chrono::system_clock::now() >= Known.ExpiresAt) {
    std::vector<base::endpoint> Asked;
    for (const named_entry &Entry : Known.Entries)
      Asked.push_back(Entry.Address);
    Asked.insert(Asked.end(), Options.Entries.begin(), Options.Entries.end());
    for (const base::endpoint &Entry : Asked)
      if (auto Result = lookUpAt(Entry); Result && !Result->Entries.empty()) {
        Known = std::move(*Result);
        break;
      }
  }
  std::vector<base::endpoint> List;
  // Without a valid answer no entry may be used.
  if (std::chrono::system_clock::now() < Known.ExpiresAt)
    for (const named_entry &Entry : Known.Entries)
      List.push_back(Entry.Address);
  return List;
}

/// The key prefix that an entry gives for itself.
std::optional<std::string> load_caller::prefixOf(const base::endpoint &Entry) {
  lookup_result &Own = Prefixes[Entry];
  if (std::chrono::system_clock::now() >= Own.ExpiresAt) {
    auto Result = lookUpAt(Entry);
    if (!Result)
      return std::nullopt;
    Own = std::move(*Result);
  }
  for (const named_entry &Named : Own.Entries)
    if (Named.Address == Entry && !Named.KeyPrefix.empty())
      return Named.KeyPrefix;
  return std::nullopt;
}

load_record load_caller::run(const std::string &Path, bool IsSafe,
                             base::boot_time Arrival) {
  load_record Record;
  Record.Service = Stream.Service;
  Record.Path = Path;
  Record.IsSafe = IsSafe;
  if (IsSafe)
    runSafe(Record, Arrival);
  else
    runKeyed(Record, Arrival);
  Record.Latency = base::boot_clock::now() - Arrival;
  return Record;
}

void load_caller::runSafe(load_record &Record, base::boot_time Arrival) {
  for (const base::endpoint &Entry : entries()) {
    // Each attempt has its own path, so that the journal tells which one ran.
    const std::string Path =
        Record.Path + "?attempt=" + std::to_string(Record.Attempts);
    if (send(Record, Entry, Path, "", Arrival) == attempt_end::Final)
      return;
  }
}

void load_caller::runKeyed(load_record &Record, base::boot_time Arrival) {
  for (const base::endpoint &Entry : entries()) {
    const auto Prefix = prefixOf(Entry);
    if (!Prefix)
      continue;
    const std::string Key = *Prefix + "." + Record.Path.substr(1) + "-" +
                            std::to_string(Record.Attempts);
    switch (send(Record, Entry, Record.Path, Key, Arrival)) {
    case attempt_end::Final:
      return;
    case attempt_end::TryNext:
      Prefixes.erase(Entry);
      break;
    case attempt_end::Repeat:
      if (Options.RepeatsUnknown)
        repeat(Record, Key, Arrival);
      return;
    }
  }
}

/// Asks all entries for the outcome of a key. Never uses a new one.
void load_caller::repeat(load_record &Record, const std::string &Key,
                         base::boot_time Arrival) {
  const base::boot_time End = base::boot_clock::now() + Options.RepeatTime;
  while (base::boot_clock::now() < End) {
    for (const base::endpoint &Entry : entries()) {
      const base::boot_time Now = base::boot_clock::now();
      if (send(Record, Entry, Record.Path, Key, std::max(Arrival, Now)) ==
          attempt_end::Final)
        return;
    }
    std::this_thread::sleep_for(RepeatPause);
  }
}

load_caller::attempt_end load_caller::send(load_record &Record,
                                           const base::endpoint &Entry,
                                           const std::string &Path,
                                           const std::string &Key,
                                           base::boot_time Arrival) {
  const base::boot_time Now = base::boot_clock::now();
  const base::boot_time Deadline = Arrival + Options.Deadline;
  auto Lease = Pool.acquire(Entry, std::min(Deadline, Now + ConnectLimit));
  if (!Lease)
    return attempt_end::TryNext;
  http::request Request;
  Request.Target = "/s/" + Stream.Service.str() + Path;
  Request.Headers["Request-Deadline"] =
      std::to_string(std::chrono::duration_cast<milliseconds>(
                         (std::chrono::system_clock::now() + (Deadline - Now))
                             .time_since_epoch())
                         .count());
  if (!Key.empty()) {
    Request.Method = "POST";
    Request.Headers["Idempotency-Key"] = Key;
    Request.Body = Path;
  }
  ++Record.Attempts;
  const auto Answer = Lease.value().exchange(
      Request, {Deadline + AnswerGrace, MaxAnswerBytes, -1});
  if (Answer)
    return judge(Record, Path, Key, Answer.value());
  if (Answer.error().NothingSent)
    return attempt_end::TryNext;
  Record.Outcome = outcome::Unknown;
  return Key.empty() ? attempt_end::TryNext : attempt_end::Repeat;
}

/// Refusals after which another entry can run the request at once. Others, such
/// as a full queue, are an answer: trying on would add to the overload.
static bool isForAnotherEntry(const http::response &Answer) {
  const json Body = json::parse(Answer.Body, nullptr, false);
  const int Code = Body.is_object() ? Body.value("code", 0) : 0;
  constexpr std::array Codes = {
      problem_code::NotReady, problem_code::KeyRefused,
      problem_code::OwnerSealed, problem_code::WitnessUnavailable,
      problem_code::IncarnationSealed};
  return std::any_of(Codes.begin(), Codes.end(), [Code](problem_code One) {
    return callers::number(One) == Code;
  });
}

load_caller::attempt_end load_caller::judge(load_record &Record,
                                            const std::string &Path,
                                            const std::string &Key,
                                            const http::response &Answer) {
  const std::string Outcome =
      http::findHeader(Answer.Headers, "Request-Outcome").value_or("");
  Record.Status = Answer.Status;
  if (Outcome == once::toString(outcome::Completed)) {
    Record.Outcome = outcome::Completed;
    const json Body = json::parse(Answer.Body, nullptr, false);
    Record.IsWrong = Answer.Status == 200 &&
                     (!Body.is_object() || Body.value("path", "") != Path ||
                      Body.value("key", "") != Key);
    return attempt_end::Final;
  }
  if (Outcome == once::toString(outcome::NotRun)) {
    Record.Outcome = outcome::NotRun;
    Record.NotRun.push_back(Key.empty() ? Path : Key);
    return isForAnotherEntry(Answer) ? attempt_end::TryNext
                                     : attempt_end::Final;
  }
  Record.Outcome = outcome::Unknown;
  return Key.empty() ? attempt_end::Final : attempt_end::Repeat;
}

} // namespace skylarkdyke::emulators::detail
