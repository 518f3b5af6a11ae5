#include "skylarkdyke/callers/caller_service.hpp"

#include "callers/detail/crash_detector.hpp"
#include "callers/detail/forwarder.hpp"
#include "callers/detail/key_admission.hpp"
#include "callers/detail/lookup.hpp"
#include "callers/detail/relay.hpp"
#include "callers/detail/snapshot.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace skylarkdyke::callers {

using detail::answer;
using detail::problem;
using detail::request_context;
using detail::snapshot;
using once::outcome;

/// Time within which all other entries have learned from heartbeats that this
/// entry is leaving, and omit it from their lookup answers.
static constexpr std::chrono::seconds LeavePropagationTime{2};

struct caller_service::impl {
  impl(settings::entry_settings EntrySettings, dependencies EntryDependencies,
       request_observer Observer)
      : Settings(std::move(EntrySettings)),
        Dependencies(std::move(EntryDependencies)),
        Observer(std::move(Observer)), Snapshots(Dependencies),
        KeyAdmission(Dependencies, Counters),
        CrashDetector(Dependencies, Counters),
        Forwarder(Dependencies, Counters, CrashDetector),
        Relay(Dependencies, Counters) {}

  answer lookUp(const http::server_request &Request);
  /// True when this entry is leaving and all lookup answers that name it have
  /// expired. It then refuses new requests, because callers that ignore the
  /// expiry would otherwise keep it from draining.
  bool refusesNewRequests() const;
  answer ready() const;
  answer forward(const http::server_request &Request);
  answer forwardKeyed(request_context &Context, const snapshot &Snapshot);
  answer runOnce(const request_context &Context, const snapshot &Snapshot);
  answer relayToOwner(const request_context &Context, const snapshot &Snapshot);
  answer dispatch(const request_context &Context, const snapshot &Snapshot);
  std::optional<answer> refusalFor(const request_context &Context) const;
  void refresh();

  settings::entry_settings Settings;
  dependencies Dependencies;
  request_observer Observer;
  mutable counters Counters;
  /// Serialises refresh(), so that a concurrent call cannot overwrite newer
  /// state with the tables of an earlier document or with a snapshot from
  /// before beginLeaving().
  std::mutex RefreshMutex;
  detail::snapshot_source Snapshots;
  detail::key_admission KeyAdmission;
  detail::crash_detector CrashDetector;
  detail::forwarder Forwarder;
  detail::relay Relay;
  std::atomic<std::uint64_t> ArrivalCount{0};
  std::atomic<unsigned> InFlight{0};
  std::atomic<bool> Leaving{false};
  /// Latest expiry of a lookup answer that may name this entry, in ticks of the
  /// wall clock.
  std::atomic<base::wall_time::rep> AdvertisedUntil{0};
};

/// Raises an atomic instant to a later one; earlier instants have no effect.
static void advanceTo(std::atomic<base::wall_time::rep> &Latest,
                      base::wall_time Time) {
  const base::wall_time::rep New = Time.time_since_epoch().count();
  base::wall_time::rep Current = Latest.load();
  while (Current < New && !Latest.compare_exchange_weak(Current, New)) {
  }
}

void caller_service::impl::refresh() {
  const std::lock_guard<std::mutex> Lock(RefreshMutex);
  if (const auto Tables = Snapshots.refresh(Leaving))
    Forwarder.configure(*Tables);
}

bool caller_service::impl::refusesNewRequests() const {
  return Leaving &&
         std::chrono::system_clock::now().time_since_epoch().count() >=
             AdvertisedUntil;
}

answer caller_service::impl::ready() const {
  const auto Snapshot = Snapshots.current();
  if (!Snapshot || !Snapshot->Self.Ready || Leaving)
    return problem(problem_code::NotReady, outcome::NotRun,
                   Leaving ? "the entry is leaving"
                           : "no configuration is in force yet");
  return {outcome::Completed, {}};
}

answer caller_service::impl::lookUp(const http::server_request &Request) {
  Counters.add(counter::Lookups);
  const auto Snapshot = Snapshots.current();
  detail::lookup_answer Result{problem(problem_code::NotReady, outcome::NotRun,
                                       "no configuration is in force yet"),
                               std::nullopt};
  if (Snapshot)
    Result = detail::lookUp(Request, *Snapshot);
  if (Result.AdvertisedUntil)
    advanceTo(AdvertisedUntil, *Result.AdvertisedUntil);
  if (Result.Answer.Outcome != outcome::Completed)
    Counters.add(counter::LookupsRefused);
  return std::move(Result.Answer);
}

answer caller_service::impl::forward(const http::server_request &Request) {
  Counters.add(counter::Requests);
  const auto Snapshot = Snapshots.current();
  if (!Snapshot) {
    // An earlier incarnation at this address may have run the request with
    // this key, so "not-run" would be a false claim.
    const bool HasKey =
        http::findHeader(Request.Message.Headers, "Idempotency-Key")
            .has_value();
    return problem(problem_code::NotReady,
                   HasKey ? outcome::Unknown : outcome::NotRun,
                   "no configuration is in force yet");
  }
  auto Parsed = detail::parseRequest(Request, Snapshot->document());
  if (!Parsed)
    return std::move(Parsed.error());
  request_context &Context = Parsed.value();
  Context.ArrivalNumber = ++ArrivalCount;
  answer Answer = Context.IsSafe ? dispatch(Context, *Snapshot)
                                 : forwardKeyed(Context, *Snapshot);
  if (Observer && Context.Settings && !Context.RelayedBy)
    Observer(Context.Service, base::boot_clock::now() - Context.ArrivedAt,
             Answer.Outcome);
  return Answer;
}

/// True if a request that names the owner of its key in Relayed-By comes from
/// the owner's address. The address is checked so that a caller on another
/// instance cannot impersonate an entry. For a request from the owner, this
/// entry only selects the target, because the owner has already checked its
/// ledger and its witness.
static bool isFromOwner(const request_context &Context,
                        const snapshot &Snapshot) {
  const entries::member *Owner = Snapshot.find(Context.Key->Prefix.Owner);
  return Owner != nullptr &&
         Owner->CallerAddress.Address == Context.Request->Client.Address;
}

answer caller_service::impl::forwardKeyed(request_context &Context,
                                          const snapshot &Snapshot) {
  const base::incarnation_id Owner = Context.Key->Prefix.Owner;
  if (Context.RelayedBy == Owner) {
    if (isFromOwner(Context, Snapshot))
      return dispatch(Context, Snapshot);
    Counters.add(counter::RelayMisdirected);
    return problem(
        problem_code::Misdirected, outcome::NotRun,
        "the sender is not a known member with the incarnation in Relayed-By");
  }
  Context.limitDeadline(Context.Key->Prefix.Expiry);
  detail::admission_result Admission = KeyAdmission.admit(Context);
  if (auto *FinalAnswer = std::get_if<answer>(&Admission))
    return std::move(*FinalAnswer);
  if (std::holds_alternative<detail::run_permit>(Admission))
    return runOnce(Context, Snapshot);
  if (!Context.RelayedBy)
    return relayToOwner(Context, Snapshot);
  Counters.add(counter::RelayMisdirected);
  return problem(problem_code::Misdirected, outcome::Unknown,
                 "the key belongs to another entry incarnation");
}

answer caller_service::impl::runOnce(const request_context &Context,
                                     const snapshot &Snapshot) {
  answer Answer{outcome::Unknown, {}};
  try {
    auto Refused = refusalFor(Context);
    if (!Refused)
      Refused = KeyAdmission.recordIntent(Context);
    Answer = Refused ? std::move(*Refused) : dispatch(Context, Snapshot);
  } catch (...) {
    // Finish the key, so that repetitions that wait for it get the outcome
    // "unknown" instead of waiting until their deadlines.
    KeyAdmission.finish(Context, {outcome::Unknown, {}});
    throw;
  }
  KeyAdmission.finish(Context, Answer);
  return Answer;
}

answer caller_service::impl::relayToOwner(const request_context &Context,
                                          const snapshot &Snapshot) {
  const entries::member *Owner = Snapshot.find(Context.Key->Prefix.Owner);
  if (Owner == nullptr || !Owner->Reachable)
    return KeyAdmission.sealOwner(Context);
  Counters.add(counter::RelayedToOwner);
  auto Answer = Relay.send(Context, Snapshot.Self, *Owner);
  if (Answer)
    return std::move(Answer.value());
  switch (Answer.error()) {
  case detail::relay_fault::NotAccepted:
  case detail::relay_fault::AnswerLost:
    return KeyAdmission.sealOwner(Context);
  case detail::relay_fault::CapRefused:
    return problem(problem_code::CapExhausted, outcome::Unknown,
                   "the cap of the link to the key's entry is exhausted; "
                   "retry with the same key");
  case detail::relay_fault::DeadlinePassed:
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::Unknown,
                   "the key's entry did not answer before the deadline");
  case detail::relay_fault::CallerGone:
    break;
  }
  Counters.add(counter::CallerGone);
  return problem(problem_code::CallerGone, outcome::Unknown,
                 "the caller closed the connection");
}

std::optional<answer>
caller_service::impl::refusalFor(const request_context &Context) const {
  if (!Context.Settings)
    return problem(problem_code::ServiceUnknown, outcome::NotRun,
                   "there is no service '" + Context.Service.str() + "'");
  if (refusesNewRequests())
    return problem(problem_code::NotReady, outcome::NotRun,
                   "the entry is draining; look up another entry");
  if (base::boot_clock::now() >= Context.Deadline) {
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::NotRun,
                   "the deadline passed before the request was dispatched");
  }
  if (CrashDetector.isBlocked(Context)) {
    Counters.add(counter::Blocked);
    return problem(problem_code::RequestBlocked, outcome::NotRun,
                   "this request has crashed several targets; operators can "
                   "release it");
  }
  return std::nullopt;
}

answer caller_service::impl::dispatch(const request_context &Context,
                                      const snapshot &Snapshot) {
  if (auto Refused = refusalFor(Context))
    return std::move(*Refused);
  const entries::member *Dispatcher = Snapshot.dispatcherOf(Context.Service);
  detail::send_options Options;
  Options.IsDispatcher = Dispatcher != nullptr &&
                         Dispatcher->Incarnation == Snapshot.Self.Incarnation;
  if (Options.IsDispatcher || Context.RelayedBy || Dispatcher == nullptr)
    return Forwarder.run(Context, Snapshot, Options);
  Counters.add(counter::RelayedToDispatcher);
  auto Answer = Relay.send(Context, Snapshot.Self, *Dispatcher);
  if (Answer)
    return std::move(Answer.value());
  switch (Answer.error()) {
  case detail::relay_fault::NotAccepted:
  case detail::relay_fault::CapRefused:
    break;
  case detail::relay_fault::AnswerLost:
    if (!Context.IsSafe || !Forwarder.tryRetry(Context.Service))
      return problem(problem_code::RelayFailed, outcome::Unknown,
                     "the dispatcher of the service failed");
    Options.MayHaveRun = true;
    break;
  case detail::relay_fault::DeadlinePassed:
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::Unknown,
                   "the dispatcher did not answer before the deadline");
  case detail::relay_fault::CallerGone:
    Counters.add(counter::CallerGone);
    return problem(problem_code::CallerGone, outcome::Unknown,
                   "the caller closed the connection");
  }
  Counters.add(counter::DirectSends);
  return Forwarder.run(Context, Snapshot, Options);
}

/// Extends IncarnationSealed by an immediate refresh, so that lookup answers
/// use the new incarnation as soon as the entry has generated it.
static dependencies withRefreshAfterSeal(dependencies EntryDependencies,
                                         std::function<void()> Refresh) {
  EntryDependencies.IncarnationSealed =
      [NotifySealed = std::move(EntryDependencies.IncarnationSealed),
       Refresh = std::move(Refresh)](base::incarnation_id Sealed) {
        NotifySealed(Sealed);
        Refresh();
      };
  return EntryDependencies;
}

caller_service::caller_service(settings::entry_settings Settings,
                               dependencies Dependencies,
                               request_observer Observer)
    : Impl(std::make_unique<impl>(
          std::move(Settings),
          withRefreshAfterSeal(std::move(Dependencies),
                               [this] { Impl->refresh(); }),
          std::move(Observer))) {}

caller_service::~caller_service() = default;

http::response caller_service::handle(const http::server_request &Request) {
  if (Request.Path == "/live")
    return detail::withOutcome({outcome::Completed, {}});
  if (Request.Path == "/ready")
    return detail::withOutcome(Impl->ready());
  if (Request.Path == "/v1/lookup")
    return detail::withOutcome(Impl->lookUp(Request));
  if (Request.Message.Target.rfind(detail::ForwardPath, 0) != 0)
    return detail::withOutcome(problem(problem_code::NoSuchResource,
                                       outcome::NotRun,
                                       "no resource has this path"));
  ++Impl->InFlight;
  answer Answer{outcome::Unknown, {}};
  try {
    Answer = Impl->forward(Request);
  } catch (const std::exception &Failure) {
    Answer =
        problem(problem_code::InternalError, outcome::Unknown, Failure.what());
  }
  if (Answer.Outcome != outcome::Completed)
    Impl->Counters.add(counter::RequestsRefused);
  --Impl->InFlight;
  return detail::withOutcome(std::move(Answer));
}

void caller_service::refresh() {
  Impl->refresh();
  const base::boot_time Now = base::boot_clock::now();
  Impl->Forwarder.closeIdle(Now);
  Impl->Relay.closeIdle(Now);
}

void caller_service::reportProbe(const targets::probe_result &Result) {
  const auto Snapshot = Impl->Snapshots.current();
  if (!Snapshot)
    return;
  const auto Found = Snapshot->Queues.find(Result.Service);
  if (Found == Snapshot->Queues.end())
    return;
  // Each queue ignores targets of other regions.
  for (const detail::region_queue &RegionQueue : Found->second)
    RegionQueue.Queue->reportProbe(Result.Target, Result.Healthy,
                                   Result.InFlight.value_or(0));
}

void caller_service::addCrash(const poison::crash_report &Report) {
  Impl->CrashDetector.add(Report);
}

std::vector<poison::blocked_request> caller_service::blockedRequests() const {
  return Impl->CrashDetector.blocked();
}

bool caller_service::releaseBlocked(std::uint64_t Fingerprint) {
  return Impl->CrashDetector.release(Fingerprint);
}

void caller_service::beginLeaving() {
  Impl->Leaving = true;
  Impl->refresh();
  // Other entries name this one until they learn that it is leaving; a caller
  // then uses that answer for its time to live.
  const auto Snapshot = Impl->Snapshots.current();
  const auto Ttl =
      Snapshot ? Snapshot->document().LookupTtl : std::chrono::milliseconds(0);
  advanceTo(Impl->AdvertisedUntil,
            std::chrono::system_clock::now() + LeavePropagationTime + Ttl);
}

bool caller_service::drained() const {
  return Impl->refusesNewRequests() && Impl->InFlight == 0;
}

std::vector<service_load> caller_service::loads() const {
  std::vector<service_load> Loads;
  const auto Snapshot = Impl->Snapshots.current();
  if (!Snapshot)
    return Loads;
  for (const auto &[Service, RegionQueues] : Snapshot->Queues)
    for (const detail::region_queue &RegionQueue : RegionQueues)
      Loads.push_back(
          {Service, RegionQueue.Region, RegionQueue.Queue->slotsInUse(),
           RegionQueue.Queue->usableSlots(), RegionQueue.Queue->waiting()});
  return Loads;
}

const counters &caller_service::counts() const { return Impl->Counters; }

} // namespace skylarkdyke::callers
