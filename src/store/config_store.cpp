#include "skylarkdyke/store/config_store.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/submission.hpp"
#include "skylarkdyke/config/validate.hpp"
#include "skylarkdyke/store/config_watcher.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace skylarkdyke::store {

using namespace std::chrono_literals;

static constexpr std::size_t MaxRemembered = 16;
static constexpr auto RecoveryPause = 50ms;
// A read that shows an older version than the operator edited comes from a
// lagging server; this is how long a better one is waited for.
static constexpr auto MaxStaleWait = 1s;

namespace {

struct loaded {
  /// Version 0 if there is no document yet.
  std::shared_ptr<const config::document> Document;
  std::uint64_t Index = 0;
};

using load_attempt = std::variant<loaded, invalid_document, unavailable>;

/// One submission on its way.
struct attempt {
  config::document Next;
  std::string Bytes;
  /// Index of the document that Next replaces.
  std::uint64_t Index = 0;
  base::boot_time Deadline;
};

} // namespace

struct config_store::impl {
  explicit impl(client &Store) : Store(Store) {}

  load_attempt load(base::boot_time Deadline);
  load_attempt loadAtLeast(std::uint64_t Version, base::boot_time Deadline);
  conflict makeConflict(const config::document &Change, std::uint64_t Expected,
                        const config::document &Current);
  submit_result write(const attempt &Attempt);
  std::optional<submit_result> resolve(const attempt &Attempt);
  std::shared_ptr<const config::document> recall(std::uint64_t Version);
  void remember(const std::shared_ptr<const config::document> &Document);

  client &Store;
  std::mutex Mutex;
  std::map<std::uint64_t, std::shared_ptr<const config::document>> Remembered;
};

void config_store::impl::remember(
    const std::shared_ptr<const config::document> &Document) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Remembered.emplace(Document->Version, Document);
  if (Remembered.size() > MaxRemembered)
    Remembered.erase(Remembered.begin());
}

std::shared_ptr<const config::document>
config_store::impl::recall(std::uint64_t Version) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Remembered.find(Version);
  return Found == Remembered.end() ? nullptr : Found->second;
}

load_attempt config_store::impl::load(base::boot_time Deadline) {
  const read_result Result = Store.get(ConfigKey, Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Result))
    return *Failure;
  const auto *Value = std::get_if<value>(&Result);
  if (Value == nullptr)
    return loaded{std::make_shared<config::document>(), 0};
  auto Decoded = config::decode(Value->Bytes);
  if (!Decoded)
    return invalid_document{Decoded.error()};
  base::findings Findings = config::validate(Decoded.value());
  if (!Findings.empty())
    return invalid_document{std::move(Findings)};
  loaded Loaded{
      std::make_shared<const config::document>(std::move(Decoded).value()),
      Value->ModifyIndex};
  remember(Loaded.Document);
  return Loaded;
}

load_attempt config_store::impl::loadAtLeast(std::uint64_t Version,
                                             base::boot_time Deadline) {
  const base::boot_time GiveUp =
      std::min(Deadline, base::boot_clock::now() + MaxStaleWait);
  for (;;) {
    load_attempt Attempt = load(Deadline);
    const auto *Loaded = std::get_if<loaded>(&Attempt);
    if (Loaded == nullptr || Loaded->Document->Version >= Version ||
        base::boot_clock::now() + RecoveryPause >= GiveUp)
      return Attempt;
    std::this_thread::sleep_for(RecoveryPause);
  }
}

conflict config_store::impl::makeConflict(const config::document &Change,
                                          std::uint64_t Expected,
                                          const config::document &Current) {
  conflict Conflict;
  Conflict.By = Current.SubmittedBy;
  Conflict.Version = Current.Version;
  const auto Base = recall(Expected);
  Conflict.IsBaseKnown = Base != nullptr;
  Conflict.Changes = config::difference(Base ? *Base : Change, Current);
  return Conflict;
}

/// Reads once and decides what became of an attempt.
/// \return nothing if the read shows no more than before the attempt
std::optional<submit_result>
config_store::impl::resolve(const attempt &Attempt) {
  const load_attempt Read = load(Attempt.Deadline);
  const auto *Loaded = std::get_if<loaded>(&Read);
  const std::uint64_t Version = Attempt.Next.Version;
  if (Loaded == nullptr || Loaded->Document->Version < Version)
    return std::nullopt;
  const config::document &Current = *Loaded->Document;
  if (config::hasSubmission(Current, Attempt.Next.SubmissionId))
    return accepted{Version};
  if (Current.Version - Version >= config::MaxRecentSubmissions)
    return unknown_submission{
        Attempt.Next.SubmissionId,
        "more submissions followed than the document remembers"};
  return makeConflict(Attempt.Next, Version - 1, Current);
}

submit_result config_store::impl::write(const attempt &Attempt) {
  bool MayHaveEffect = false;
  bool IsRefused = false;
  std::string Reason = "the deadline passed";
  while (base::boot_clock::now() < Attempt.Deadline) {
    // A repeated write has no effect after the first one took effect, because
    // the index has moved on.
    if (!IsRefused) {
      const write_result Result = Store.compareAndSwap(
          ConfigKey, Attempt.Bytes, Attempt.Index, Attempt.Deadline);
      if (std::holds_alternative<written>(Result))
        return accepted{Attempt.Next.Version};
      if (const auto *Failure = std::get_if<unavailable>(&Result)) {
        if (!MayHaveEffect)
          return *Failure;
        Reason = Failure->Reason;
      }
      if (const auto *Failure = std::get_if<unknown_effect>(&Result)) {
        MayHaveEffect = true;
        Reason = Failure->Reason;
      }
      IsRefused = std::holds_alternative<refused>(Result);
    }
    if (auto Resolved = resolve(Attempt))
      return *std::move(Resolved);
    std::this_thread::sleep_for(RecoveryPause);
  }
  if (IsRefused && !MayHaveEffect)
    return conflict{};
  return unknown_submission{Attempt.Next.SubmissionId, Reason};
}

config_store::config_store(client &Store)
    : Impl(std::make_unique<impl>(Store)) {}

config_store::~config_store() = default;

load_result config_store::load(base::boot_time Deadline) {
  load_attempt Attempt = Impl->load(Deadline);
  if (auto *Failure = std::get_if<unavailable>(&Attempt))
    return *Failure;
  if (auto *Invalid = std::get_if<invalid_document>(&Attempt))
    return std::move(*Invalid);
  const loaded &Loaded = std::get<loaded>(Attempt);
  if (Loaded.Document->Version == 0)
    return no_document{};
  return *Loaded.Document;
}

static void logResult(const attempt &Attempt, const submit_result &Result) {
  const std::string &Operator = Attempt.Next.SubmittedBy.str();
  if (std::holds_alternative<accepted>(Result))
    SKYLARKDYKE_LOG(INFO, ConfigSubmitted)
        << "version " << Attempt.Next.Version << " by " << Operator;
  else if (const auto *Lost = std::get_if<conflict>(&Result))
    SKYLARKDYKE_LOG(INFO, ConfigSubmitConflict)
        << "version " << Attempt.Next.Version << " by " << Operator
        << " lost to version " << Lost->Version << " by " << Lost->By.str();
  else if (const auto *Unknown = std::get_if<unknown_submission>(&Result))
    SKYLARKDYKE_LOG(WARNING, ConfigSubmitUnknown)
        << "submission " << Unknown->SubmissionId << " by " << Operator << ": "
        << Unknown->Reason;
}

submit_result config_store::submit(const config::document &Change,
                                   std::uint64_t ExpectedVersion,
                                   const base::operator_name &Operator,
                                   base::boot_time Deadline) {
  load_attempt Read = Impl->loadAtLeast(ExpectedVersion, Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Read))
    return *Failure;
  if (const auto *Invalid = std::get_if<invalid_document>(&Read))
    return unavailable{"the document in the store is not valid: " +
                       base::toString(Invalid->Findings)};
  const loaded &Current = std::get<loaded>(Read);
  if (Current.Document->Version != ExpectedVersion)
    return Impl->makeConflict(Change, ExpectedVersion, *Current.Document);
  attempt Attempt;
  Attempt.Next =
      config::nextDocument(*Current.Document, Change,
                           {base::toString(base::drawIncarnation()) +
                                base::toString(base::drawIncarnation()),
                            Operator, std::chrono::system_clock::now()});
  base::findings Findings = config::validate(Attempt.Next);
  if (ExpectedVersion != 0)
    for (base::finding &Finding :
         config::validateChange(*Current.Document, Attempt.Next))
      Findings.push_back(std::move(Finding));
  if (!Findings.empty())
    return refused_document{std::move(Findings)};
  Attempt.Bytes = config::encode(Attempt.Next);
  if (Attempt.Bytes.size() > config::MaxDocumentBytes)
    return refused_document{
        {{"", "the document has " + std::to_string(Attempt.Bytes.size()) +
                  " bytes, the limit is " +
                  std::to_string(config::MaxDocumentBytes)}}};
  Attempt.Index = Current.Index;
  Attempt.Deadline = Deadline;
  submit_result Result = Impl->write(Attempt);
  logResult(Attempt, Result);
  if (std::holds_alternative<accepted>(Result))
    Impl->remember(std::make_shared<const config::document>(Attempt.Next));
  return Result;
}

void config_store::remember(
    const std::shared_ptr<const config::document> &Document) {
  Impl->remember(Document);
}

} // namespace skylarkdyke::store
