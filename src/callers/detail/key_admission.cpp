#include "callers/detail/key_admission.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/http/client.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

using once::outcome;

/// Interval at which a repeated request that waits for an outcome checks
/// whether its caller is still connected.
static constexpr std::chrono::milliseconds DisconnectPollInterval{50};

key_admission::key_admission(const dependencies &Dependencies,
                             counters &Counters)
    : Dependencies(Dependencies), Counters(Counters) {}

void key_admission::replaceIncarnation(base::incarnation_id Next) {
  const base::wall_time Now = std::chrono::system_clock::now();
  Ledgers.erase(std::remove_if(Ledgers.begin(), Ledgers.end(),
                               [Now](const owned_ledger &Owned) {
                                 return Owned.ExpiresAt <= Now;
                               }),
                Ledgers.end());
  if (!Ledgers.empty()) {
    Ledgers.back().Ledger.seal();
    Ledgers.back().ExpiresAt = Now + once::MaxKeyLifetime + once::ExpiryMargin;
  }
  Ledgers.push_back({Next, once::ledger(Next, MaxKeys, MaxAnswerBytes)});
}

once::ledger *key_admission::findLedger(base::incarnation_id Owner) {
  const base::incarnation_id Current = Dependencies.Self().Incarnation;
  if (Ledgers.empty() || Ledgers.back().Incarnation != Current)
    replaceIncarnation(Current);
  const auto Found = std::find_if(Ledgers.begin(), Ledgers.end(),
                                  [Owner](const owned_ledger &Owned) {
                                    return Owned.Incarnation == Owner;
                                  });
  return Found == Ledgers.end() ? nullptr : &Found->Ledger;
}

/// Converts the final state of a key into an answer.
static answer answerOf(const once::begin_finished &FinalState) {
  if (FinalState.Outcome == outcome::Completed)
    return {outcome::Completed, FinalState.Answer};
  return problem(problem_code::KeyFinished, FinalState.Outcome,
                 FinalState.Outcome == outcome::NotRun
                     ? "the request was not run and will not be run with "
                       "this key; send it again with a new key"
                     : "the request with this key may have been run and its "
                       "answer is lost");
}

admission_result key_admission::admit(const request_context &Context) {
  bool IsRepeated = false;
  std::unique_lock<std::mutex> Lock(Mutex);
  while (true) {
    once::ledger *Ledger = findLedger(Context.Key->Prefix.Owner);
    if (Ledger == nullptr)
      return foreign_owner{};
    const once::begin_result Result = Ledger->begin(
        *Context.Key, Context.Fingerprint, std::chrono::system_clock::now());
    if (std::holds_alternative<once::begin_accepted>(Result))
      return run_permit{};
    if (!IsRepeated)
      Counters.add(counter::KeyRepeated);
    IsRepeated = true;
    if (const auto *Done = std::get_if<once::begin_finished>(&Result))
      return answerOf(*Done);
    if (const auto *Refused = std::get_if<once::begin_refused>(&Result)) {
      Counters.add(counter::KeyRefused);
      return problem(problem_code::KeyRefused, Refused->Outcome,
                     Refused->Reason);
    }
    if (std::holds_alternative<once::begin_mismatch>(Result))
      return problem(problem_code::KeyMismatch, outcome::NotRun,
                     "the key was used with another method, path or body");
    const auto Remaining = Context.Deadline - base::boot_clock::now();
    if (Remaining <= Remaining.zero() ||
        http::isClosedByPeer(Context.Request->Socket))
      return problem(problem_code::KeyStillRunning, outcome::Unknown,
                     "the first request with this key has no outcome yet; "
                     "retry with the same key");
    OutcomeAvailable.wait_for(Lock, std::min<std::chrono::nanoseconds>(
                                        Remaining, DisconnectPollInterval));
  }
}

std::optional<answer>
key_admission::recordIntent(const request_context &Context) {
  const once::idempotency_key &Key = *Context.Key;
  if (Key.Prefix.Witness.Value == 0)
    return std::nullopt;
  const auto Result = Dependencies.RecordIntent(
      Key,
      std::min(Context.Deadline, base::boot_clock::now() + WitnessTimeout));
  if (Result == once::record_result::Recorded)
    return std::nullopt;
  Counters.add(counter::IntentRefused);
  if (Result != once::record_result::Sealed)
    return problem(problem_code::WitnessUnavailable, outcome::NotRun,
                   "the witness did not record the intent in time");
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (once::ledger *Ledger = findLedger(Key.Prefix.Owner))
      Ledger->seal();
  }
  SKYLARKDYKE_LOG(WARNING, IncarnationSealed)
      << base::toString(Key.Prefix.Owner) << " was sealed by its witness "
      << base::toString(Key.Prefix.Witness);
  Dependencies.IncarnationSealed(Key.Prefix.Owner);
  return problem(
      problem_code::IncarnationSealed, outcome::NotRun,
      "the witness has sealed this entry incarnation; look up again");
}

void key_admission::finish(const request_context &Context,
                           const answer &Answer) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (once::ledger *Ledger = findLedger(Context.Key->Prefix.Owner))
      Ledger->finish(*Context.Key, Answer.Outcome,
                     Answer.Outcome == outcome::Completed ? Answer.Response
                                                          : http::response(),
                     std::chrono::system_clock::now());
  }
  OutcomeAvailable.notify_all();
}

answer key_admission::sealOwner(const request_context &Context) {
  const once::idempotency_key &Key = *Context.Key;
  std::optional<once::seal_result> Result;
  if (Key.Prefix.Witness.Value != 0)
    Result = Dependencies.SealOwner(
        Key,
        std::min(Context.Deadline, base::boot_clock::now() + WitnessTimeout));
  if (Result) {
    Counters.add(counter::OwnerSealed);
    SKYLARKDYKE_LOG(WARNING, OwnerSealed)
        << base::toString(Key.Prefix.Owner) << " at its witness "
        << base::toString(Key.Prefix.Witness);
  }
  if (Result == once::seal_result::NeverRecorded)
    return problem(problem_code::OwnerSealed, outcome::NotRun,
                   "the entry of this key failed before it ran the request; "
                   "look up again and use a new key");
  return problem(problem_code::OwnerUnknown, outcome::Unknown,
                 "the entry of this key cannot be reached and may have run "
                 "the request");
}

} // namespace skylarkdyke::callers::detail
