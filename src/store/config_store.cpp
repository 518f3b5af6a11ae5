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

static constexpr std::size_t MaxCachedVersions = 16;
static constexpr auto RetryInterval = 50ms;
// A read that shows an older version than the operator edited comes from a
// lagging server. The read is repeated until it is up to date, for at most this
// long.
static constexpr auto MaxStaleWait = 1s;

namespace {

/// A document with its store index.
struct loaded_document {
  /// Has version 0 if the store holds no document yet.
  std::shared_ptr<const config::document> Document;
  std::uint64_t Index = 0;
};

using load_outcome =
    std::variant<loaded_document, invalid_document, unavailable>;

/// A submission whose write has not been confirmed.
struct pending_submission {
  config::document Next;
  /// Encoded Next.
  std::string Bytes;
  /// Store index of the document that Next replaces; 0 if there is none.
  std::uint64_t Index = 0;
  base::boot_time Deadline;
};

} // namespace

struct config_store::impl {
  explicit impl(client &Store) : Store(Store) {}

  load_outcome load(base::boot_time Deadline);
  load_outcome loadAtLeast(std::uint64_t Version, base::boot_time Deadline);
  conflict makeConflict(const config::document &Change, std::uint64_t Expected,
                        const config::document &Current);
  submit_result write(const pending_submission &Submission);
  std::optional<submit_result>
  readOutcome(const pending_submission &Submission);
  std::shared_ptr<const config::document> findCached(std::uint64_t Version);
  void cacheVersion(const std::shared_ptr<const config::document> &Document);

  client &Store;
  std::mutex Mutex;
  std::map<std::uint64_t, std::shared_ptr<const config::document>>
      CachedVersions;
};

void config_store::impl::cacheVersion(
    const std::shared_ptr<const config::document> &Document) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  CachedVersions.emplace(Document->Version, Document);
  if (CachedVersions.size() > MaxCachedVersions)
    CachedVersions.erase(CachedVersions.begin());
}

std::shared_ptr<const config::document>
config_store::impl::findCached(std::uint64_t Version) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = CachedVersions.find(Version);
  return Found == CachedVersions.end() ? nullptr : Found->second;
}

load_outcome config_store::impl::load(base::boot_time Deadline) {
  const read_result Result = Store.get(ConfigKey, Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Result))
    return *Failure;
  const auto *Value = std::get_if<value>(&Result);
  if (Value == nullptr)
    return loaded_document{std::make_shared<config::document>(), 0};
  auto Decoded = config::decode(Value->Bytes);
  if (!Decoded)
    return invalid_document{Decoded.error()};
  base::findings Findings = config::validate(Decoded.value());
  if (!Findings.empty())
    return invalid_document{std::move(Findings)};
  loaded_document Loaded{
      std::make_shared<const config::document>(std::move(Decoded).value()),
      Value->ModifyIndex};
  cacheVersion(Loaded.Document);
  return Loaded;
}

load_outcome config_store::impl::loadAtLeast(std::uint64_t Version,
                                             base::boot_time Deadline) {
  const base::boot_time StaleDeadline =
      std::min(Deadline, base::boot_clock::now() + MaxStaleWait);
  for (;;) {
    load_outcome Outcome = load(Deadline);
    const auto *Loaded = std::get_if<loaded_document>(&Outcome);
    if (Loaded == nullptr || Loaded->Document->Version >= Version ||
        base::boot_clock::now() + RetryInterval >= StaleDeadline)
      return Outcome;
    std::this_thread::sleep_for(RetryInterval);
  }
}

conflict config_store::impl::makeConflict(const config::document &Change,
                                          std::uint64_t Expected,
                                          const config::document &Current) {
  conflict Conflict;
  Conflict.SubmittedBy = Current.SubmittedBy;
  Conflict.Version = Current.Version;
  const auto Base = findCached(Expected);
  Conflict.IsBaseKnown = Base != nullptr;
  Conflict.Changes = config::difference(Base ? *Base : Change, Current);
  return Conflict;
}

/// Reads the document once to find the outcome of a submission.
/// \return the outcome, or nothing if the read fails or shows only versions
/// before the submission
std::optional<submit_result>
config_store::impl::readOutcome(const pending_submission &Submission) {
  const load_outcome Read = load(Submission.Deadline);
  const auto *Loaded = std::get_if<loaded_document>(&Read);
  const std::uint64_t Version = Submission.Next.Version;
  if (Loaded == nullptr || Loaded->Document->Version < Version)
    return std::nullopt;
  const config::document &Current = *Loaded->Document;
  if (config::hasSubmission(Current, Submission.Next.SubmissionId))
    return accepted{Version};
  if (Current.Version - Version >= config::MaxRecentSubmissions)
    return unknown_submission{
        Submission.Next.SubmissionId,
        "the document no longer records submissions this old"};
  return makeConflict(Submission.Next, Version - 1, Current);
}

submit_result config_store::impl::write(const pending_submission &Submission) {
  bool MayHaveEffect = false;
  bool IsRefused = false;
  std::string Reason = "the deadline passed";
  while (base::boot_clock::now() < Submission.Deadline) {
    // A repeated write has no effect after the first one took effect, because
    // the index has changed.
    if (!IsRefused) {
      const write_result Result = Store.compareAndSwap(
          ConfigKey, Submission.Bytes, Submission.Index, Submission.Deadline);
      if (std::holds_alternative<written>(Result))
        return accepted{Submission.Next.Version};
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
    if (auto Outcome = readOutcome(Submission))
      return *std::move(Outcome);
    std::this_thread::sleep_for(RetryInterval);
  }
  if (IsRefused && !MayHaveEffect)
    return conflict{};
  return unknown_submission{Submission.Next.SubmissionId, Reason};
}

config_store::config_store(client &Store)
    : Impl(std::make_unique<impl>(Store)) {}

config_store::~config_store() = default;

load_result config_store::load(base::boot_time Deadline) {
  load_outcome Outcome = Impl->load(Deadline);
  if (auto *Failure = std::get_if<unavailable>(&Outcome))
    return *Failure;
  if (auto *Invalid = std::get_if<invalid_document>(&Outcome))
    return std::move(*Invalid);
  const loaded_document &Loaded = std::get<loaded_document>(Outcome);
  if (Loaded.Document->Version == 0)
    return no_document{};
  return *Loaded.Document;
}

static void logResult(const pending_submission &Submission,
                      const submit_result &Result) {
  const std::string &Operator = Submission.Next.SubmittedBy.str();
  if (std::holds_alternative<accepted>(Result))
    SKYLARKDYKE_LOG(INFO, ConfigSubmitted)
        << "version " << Submission.Next.Version << " by " << Operator;
  else if (const auto *Conflict = std::get_if<conflict>(&Result))
    SKYLARKDYKE_LOG(INFO, ConfigSubmitConflict)
        << "version " << Submission.Next.Version << " by " << Operator
        << " conflicts with version " << Conflict->Version << " by "
        << Conflict->SubmittedBy.str();
  else if (const auto *Unknown = std::get_if<unknown_submission>(&Result))
    SKYLARKDYKE_LOG(WARNING, ConfigSubmitUnknown)
        << "submission " << Unknown->SubmissionId << " by " << Operator << ": "
        << Unknown->Reason;
}

submit_result config_store::submit(const config::document &Change,
                                   std::uint64_t ExpectedVersion,
                                   const base::operator_name &Operator,
                                   base::boot_time Deadline) {
  load_outcome Read = Impl->loadAtLeast(ExpectedVersion, Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Read))
    return *Failure;
  if (const auto *Invalid = std::get_if<invalid_document>(&Read))
    return unavailable{"the document in the store is not valid: " +
                       base::toString(Invalid->Findings)};
  const loaded_document &Current = std::get<loaded_document>(Read);
  if (Current.Document->Version != ExpectedVersion)
    return Impl->makeConflict(Change, ExpectedVersion, *Current.Document);
  pending_submission Submission;
  Submission.Next =
      config::nextDocument(*Current.Document, Change,
                           {base::toString(base::generateIncarnation()) +
                                base::toString(base::generateIncarnation()),
                            Operator, std::chrono::system_clock::now()});
  base::findings Findings = config::validate(Submission.Next);
  if (ExpectedVersion != 0)
    for (base::finding &Finding :
         config::validateChange(*Current.Document, Submission.Next))
      Findings.push_back(std::move(Finding));
  if (!Findings.empty())
    return refused_document{std::move(Findings)};
  Submission.Bytes = config::encode(Submission.Next);
  if (Submission.Bytes.size() > config::MaxDocumentBytes)
    return refused_document{
        {{"", "the document has " + std::to_string(Submission.Bytes.size()) +
                  " bytes, the limit is " +
                  std::to_string(config::MaxDocumentBytes)}}};
  Submission.Index = Current.Index;
  Submission.Deadline = Deadline;
  submit_result Result = Impl->write(Submission);
  logResult(Submission, Result);
  if (std::holds_alternative<accepted>(Result))
    Impl->cacheVersion(
        std::make_shared<const config::document>(Submission.Next));
  return Result;
}

void config_store::cacheVersion(
    const std::shared_ptr<const config::document> &Document) {
  Impl->cacheVersion(Document);
}

} // namespace skylarkdyke::store
