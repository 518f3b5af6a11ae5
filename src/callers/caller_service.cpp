#include "skylarkdyke/callers/caller_service.hpp"

#include "callers/detail/crash_guard.hpp"
#include "callers/detail/forwarder.hpp"
#include "callers/detail/key_gate.hpp"
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

/// Time within which all other entries know from heartbeats that this one is
/// leaving, and stop naming it.
static constexpr std::chrono::seconds LeavingKnownAfter{2};

struct caller_service::impl {
  impl(settings::entry_settings Given, dependencies Functions,
       request_observer Observer)
      : Settings(std::move(Given)), Dependencies(std::move(Functions)),
        Observer(std::move(Observer)), Source(Dependencies),
        Gate(Dependencies, Counters), Crashes(Dependencies, Counters),
        Forwarder(Dependencies, Counters, Crashes),
        Relay(Dependencies, Counters) {}

  answer lookUp(const http::server_request &Request);
  /// True when this entry is leaving and no lookup answer names it any more.
  /// New requests are refused then; callers that send on regardless would keep
  /// it from ever being drained.
  bool isClosed() const;
  answer ready() const;
  answer forward(const http::server_request &Request);
  answer forwardKeyed(request_context &Context, const snapshot &Snapshot);
  answer runOnce(const request_context &Context, const snapshot &Snapshot);
  answer relayToOwner(const request_context &Context, const snapshot &Snapshot);
  answer dispatch(const request_context &Context, const snapshot &Snapshot);
  std::optional<answer> refuse(const request_context &Context) const;
  void refresh();

  settings::entry_settings Settings;
  dependencies Dependencies;
  request_observer Observer;
  mutable counters Counters;
  /// Serialises refresh(), so that neither the tables of an earlier document
  /// nor a state from before leaving are put in place last.
  std::mutex Refreshing;
  detail::snapshot_source Source;
  detail::key_gate Gate;
  detail::crash_guard Crashes;
  detail::forwarder Forwarder;
  detail::relay Relay;
  std::atomic<std::uint64_t> Arrivals{0};
  std::atomic<unsigned> InFlight{0};
  std::atomic<bool> Leaving{false};
  /// Expiry of the last lookup answer that may name this entry, as ticks of the
  /// wall clock.
  std::atomic<base::wall_time::rep> NamedUntil{0};
};

static void raise(std::atomic<base::wall_time::rep> &Latest,
                  base::wall_time Time) {
  const base::wall_time::rep Next = Time.time_since_epoch().count();
  base::wall_time::rep Known = Latest.load();
  while (Known < Next && !Latest.compare_exchange_weak(Known, Next)) {
  }
}

void caller_service::impl::refresh() {
  const std::lock_guard<std::mutex> Lock(Refreshing);
  if (const auto Tables = Source.refresh(Leaving))
    Forwarder.configure(*Tables);
}

bool caller_service::impl::isClosed() const {
  return Leaving &&
         std::chrono::system_clock::now().time_since_epoch().count() >=
             NamedUntil;
}

answer caller_service::impl::ready() const {
  const auto Snapshot = Source.current();
  if (!Snapshot || !Snapshot->Self.Ready || Leaving)
    return problem(problem_code::NotReady, outcome::NotRun,
                   Leaving ? "the entry is leaving"
                           : "no configuration is in force yet");
  return {outcome::Completed, {}};
}

answer caller_service::impl::lookUp(const http::server_request &Request) {
  Counters.add(counter::Lookups);
  const auto Snapshot = Source.current();
  detail::lookup_answer Result{problem(problem_code::NotReady, outcome::NotRun,
                                       "no configuration is in force yet"),
                               std::nullopt};
  if (Snapshot)
    Result = detail::lookUp(Request, *Snapshot);
  if (Result.NamedUntil)
    raise(NamedUntil, *Result.NamedUntil);
  if (Result.Answer.Outcome != outcome::Completed)
    Counters.add(counter::LookupsRefused);
  return std::move(Result.Answer);
}

answer caller_service::impl::forward(const http::server_request &Request) {
  Counters.add(counter::Requests);
  const auto Snapshot = Source.current();
  if (!Snapshot) {
    // An earlier incarnation on this address may have run the key.
    const bool HasKey =
        http::findHeader(Request.Message.Headers, "Idempotency-Key")
            .has_value();
    return problem(problem_code::NotReady,
                   HasKey ? outcome::Unknown : outcome::NotRun,
                   "no configuration is in force yet");
  }
  auto Read = detail::readRequest(Request, Snapshot->document());
  if (!Read)
    return std::move(Read.error());
  request_context &Context = Read.value();
  Context.Arrival = ++Arrivals;
  answer Answer = Context.IsSafe ? dispatch(Context, *Snapshot)
                                 : forwardKeyed(Context, *Snapshot);
  if (Observer && Context.Settings && !Context.RelayedBy)
    Observer(Context.Service, base::boot_clock::now() - Context.ArrivedAt,
             Answer.Outcome);
  return Answer;
}

/// The owner of the key has passed its ledger and witness and leaves the choice
/// of the target to this entry. Its address is checked as well, so that no
/// caller passes for an entry from another machine.
static bool isFromOwner(const request_context &Context,
                        const snapshot &Snapshot) {
  const entries::member *Owner = Snapshot.find(Context.Key->Prefix.Owner);
  return Owner != nullptr &&
         Owner->CallerAddress.Address == Context.Source->Client.Address;
}

answer caller_service::impl::forwardKeyed(request_context &Context,
                                          const snapshot &Snapshot) {
  const base::incarnation_id Owner = Context.Key->Prefix.Owner;
  if (Context.RelayedBy == Owner) {
    if (isFromOwner(Context, Snapshot))
      return dispatch(Context, Snapshot);
    Counters.add(counter::RelayMisdirected);
    return problem(problem_code::Misdirected, outcome::NotRun,
                   "the relaying entry is not known here");
  }
  Context.limitDeadline(Context.Key->Prefix.Expiry);
  detail::admission Admission = Gate.admit(Context);
  if (auto *Known = std::get_if<answer>(&Admission))
    return std::move(*Known);
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
    auto Refused = refuse(Context);
    if (!Refused)
      Refused = Gate.recordIntent(Context);
    Answer = Refused ? std::move(*Refused) : dispatch(Context, Snapshot);
  } catch (...) {
    // The key must not stay running: those that wait for it learn that its
    // outcome is unknown.
    Gate.finish(Context, {outcome::Unknown, {}});
    throw;
  }
  Gate.finish(Context, Answer);
  return Answer;
}

answer caller_service::impl::relayToOwner(const request_context &Context,
                                          const snapshot &Snapshot) {
  const entries::member *Owner = Snapshot.find(Context.Key->Prefix.Owner);
  if (Owner == nullptr || !Owner->Reachable)
    return Gate.sealOwner(Context);
  Counters.add(counter::RelayedToOwner);
  auto Answer = Relay.send(Context, Snapshot.Self, *Owner);
  if (Answer)
    return std::move(Answer.value());
  switch (Answer.error()) {
  case detail::relay_fault::NotTaken:
  case detail::relay_fault::Lost:
    return Gate.sealOwner(Context);
  case detail::relay_fault::CapRefused:
    return problem(problem_code::CapExhausted, outcome::Unknown,
                   "no share is left of the link to the key's entry; ask "
                   "again with the same key");
  case detail::relay_fault::DeadlinePassed:
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::Unknown,
                   "the key's entry did not answer before the deadline");
  case detail::relay_fault::CallerGone:
    break;
  }
  Counters.add(counter::CallerGone);
  return problem(problem_code::CallerGone, outcome::Unknown, "the caller left");
}

std::optional<answer>
caller_service::impl::refuse(const request_context &Context) const {
  if (!Context.Settings)
    return problem(problem_code::ServiceUnknown, outcome::NotRun,
                   "there is no service '" + Context.Service.str() + "'");
  if (isClosed())
    return problem(problem_code::NotReady, outcome::NotRun,
                   "the entry has left; ask a lookup for another");
  if (base::boot_clock::now() >= Context.Deadline) {
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::NotRun,
                   "the deadline had passed on arrival");
  }
  if (Crashes.isBlocked(Context)) {
    Counters.add(counter::Blocked);
    return problem(problem_code::RequestBlocked, outcome::NotRun,
                   "this request has crashed several targets; operators can "
                   "release it");
  }
  return std::nullopt;
}

answer caller_service::impl::dispatch(const request_context &Context,
                                      const snapshot &Snapshot) {
  if (auto Refused = refuse(Context))
    return std::move(*Refused);
  const entries::member *Dispatcher = Snapshot.dispatcherOf(Context.Service);
  detail::send_rights Rights;
  Rights.IsDispatcher = Dispatcher != nullptr &&
                        Dispatcher->Incarnation == Snapshot.Self.Incarnation;
  if (Rights.IsDispatcher || Context.RelayedBy || Dispatcher == nullptr)
    return Forwarder.run(Context, Snapshot, Rights);
  Counters.add(counter::RelayedToDispatcher);
  auto Answer = Relay.send(Context, Snapshot.Self, *Dispatcher);
  if (Answer)
    return std::move(Answer.value());
  switch (Answer.error()) {
  case detail::relay_fault::NotTaken:
  case detail::relay_fault::CapRefused:
    break;
  case detail::relay_fault::Lost:
    if (!Context.IsSafe || !Forwarder.tryRetry(Context.Service))
      return problem(problem_code::RelayFailed, outcome::Unknown,
                     "the dispatcher of the service failed");
    Rights.MayHaveRun = true;
    break;
  case detail::relay_fault::DeadlinePassed:
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::Unknown,
                   "the dispatcher did not answer before the deadline");
  case detail::relay_fault::CallerGone:
    Counters.add(counter::CallerGone);
    return problem(problem_code::CallerGone, outcome::Unknown,
                   "the caller left");
  }
  Counters.add(counter::DirectSends);
  return Forwarder.run(Context, Snapshot, Rights);
}

/// Tells the entry of a seal and takes over its new incarnation at once, so
/// that no lookup names the sealed one any more.
static dependencies refreshingAfterSeal(dependencies Functions,
                                        std::function<void()> Refresh) {
  Functions.IncarnationSealed =
      [Tell = std::move(Functions.IncarnationSealed),
       Refresh = std::move(Refresh)](base::incarnation_id Sealed) {
        Tell(Sealed);
        Refresh();
      };
  return Functions;
}

caller_service::caller_service(settings::entry_settings Settings,
                               dependencies Dependencies,
                               request_observer Observer)
    : Impl(std::make_unique<impl>(
          std::move(Settings),
          refreshingAfterSeal(std::move(Dependencies),
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
                                       "there is nothing at this path"));
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
  const auto Snapshot = Impl->Source.current();
  if (!Snapshot)
    return;
  const auto Found = Snapshot->Queues.find(Result.Service);
  if (Found == Snapshot->Queues.end())
    return;
  // Queues ignore targets of other regions.
  for (const detail::region_queue &Place : Found->second)
    Place.Queue->report(Result.Target, Result.Healthy,
                        Result.InFlight.value_or(0));
}

void caller_service::addCrash(const poison::crash_report &Report) {
  Impl->Crashes.add(Report);
}

std::vector<poison::blocked_request> caller_service::blockedRequests() const {
  return Impl->Crashes.blocked();
}

bool caller_service::releaseBlocked(std::uint64_t Fingerprint) {
  return Impl->Crashes.release(Fingerprint);
}

void caller_service::beginLeaving() {
  Impl->Leaving = true;
  Impl->refresh();
  // Other entries name this one until they know; the caller then keeps that
  // answer for its time to live.
  const auto Snapshot = Impl->Source.current();
  const auto Ttl =
      Snapshot ? Snapshot->document().LookupTtl : std::chrono::milliseconds(0);
  raise(Impl->NamedUntil,
        std::chrono::system_clock::now() + LeavingKnownAfter + Ttl);
}

bool caller_service::drained() const {
  return Impl->isClosed() && Impl->InFlight == 0;
}

std::vector<service_load> caller_service::loads() const {
  std::vector<service_load> Loads;
  const auto Snapshot = Impl->Source.current();
  if (!Snapshot)
    return Loads;
  for (const auto &[Service, Places] : Snapshot->Queues)
    for (const detail::region_queue &Place : Places)
      Loads.push_back({Service, Place.Region, Place.Queue->slotsInUse(),
                       Place.Queue->usableSlots(), Place.Queue->waiting()});
  return Loads;
}

const counters &caller_service::counts() const { return Impl->Counters; }

} // namespace skylarkdyke::callers
