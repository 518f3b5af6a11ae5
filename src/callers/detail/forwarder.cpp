#include "callers/detail/forwarder.hpp"

#include "callers/detail/headers.hpp"
#include "callers/detail/relay.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/steering/region_choice.hpp"

#include <algorithm>
#include <limits>
#include <thread>

namespace skylarkdyke::callers::detail {

using http::exchange_fault;
using once::outcome;
using steering::attempt_result;

/// Longest wait for units of the caps: a loan arrives within an exchange
/// interval of 250 ms and a round trip of up to 55 ms. Only requests that hold
/// a slot wait here, so their number is bounded.
static constexpr std::chrono::milliseconds CapWaitTimeout{400};
/// Each try counts as demand when this entry requests loans, so the interval
/// keeps their number low.
static constexpr std::chrono::milliseconds CapRetryInterval{50};
/// Longest time from taking units of the caps to sending the request.
static constexpr std::chrono::milliseconds SendTimeout{20};
/// Longest wait for a connection to a target: 250 times the usual connection
/// time on the deployments, and short enough to try another target.
static constexpr std::chrono::milliseconds TargetConnectTimeout{250};
/// Slots of each target that an entry uses while it is not the dispatcher.
static constexpr unsigned DirectSlotsPerTarget = 1;

forwarder::forwarder(const dependencies &Dependencies, counters &Counters,
                     crash_detector &CrashDetector)
    : Dependencies(Dependencies), Counters(Counters),
      CrashDetector(CrashDetector) {}

void forwarder::configure(const document_tables &Tables) {
  const config::document &Document = *Tables.Document;
  std::map<base::endpoint, unsigned> Limits;
  // Each entry gets an equal part of a target's connection limit, so that all
  // entries together stay within it, whichever of them is the dispatcher.
  for (const config::target &Target : Document.Targets)
    Limits[Target.Address] =
        Target.MaxConnections / std::max(1U, Document.EntrySeats);
  Pool.configure(std::move(Limits));
  const std::lock_guard<std::mutex> Lock(Mutex);
  ShiftLimiter.setCap(Document.ShiftCapPercentPerSecond);
}

bool forwarder::tryRetry(const base::service_name &Service) {
  bool Allowed = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Allowed = RetryBudget.tryRetry(Service);
  }
  Counters.add(Allowed ? counter::Retries : counter::RetriesRefused);
  return Allowed;
}

/// True if the queue serves the next request without a wait. Other regions need
/// not be considered then.
static bool hasNoWait(const region_queue &RegionQueue) {
  return RegionQueue.Queue->usableSlots() > 0 &&
         RegionQueue.Queue->expectedWait() == std::chrono::nanoseconds(0);
}

static steering::region_option optionOf(const region_queue &RegionQueue) {
  return {RegionQueue.Region, RegionQueue.Queue->usableSlots() > 0,
          RegionQueue.Queue->expectedWait(), RegionQueue.RoundTrip};
}

std::variant<const region_queue *, answer>
forwarder::chooseRegion(const request_context &Context,
                        const snapshot &Snapshot) {
  const auto Found = Snapshot.Queues.find(Context.Service);
  if (Found == Snapshot.Queues.end())
    return problem(problem_code::NoTarget, outcome::NotRun,
                   "service '" + Context.Service.str() + "' has no target");
  const std::vector<region_queue> &RegionQueues = Found->second;
  const bool HasOwnRegion = RegionQueues.front().Region == Snapshot.Self.Region;
  if (HasOwnRegion &&
      (RegionQueues.size() == 1 || hasNoWait(RegionQueues.front())))
    return &RegionQueues.front();
  steering::region_option OwnRegion{Snapshot.Self.Region};
  std::vector<steering::region_option> OtherRegions;
  for (const region_queue &RegionQueue : RegionQueues) {
    if (RegionQueue.Region == Snapshot.Self.Region)
      OwnRegion = optionOf(RegionQueue);
    else
      OtherRegions.push_back(optionOf(RegionQueue));
  }
  const auto Chosen = steering::chooseRegion(OwnRegion, OtherRegions);
  // If no region has a usable target, the request waits in the own region until
  // a target becomes usable.
  if (HasOwnRegion && (!Chosen || *Chosen == Snapshot.Self.Region))
    return &RegionQueues.front();
  if (!Chosen)
    return problem(problem_code::NoTarget, outcome::NotRun,
                   "no region has a target that accepts new requests");
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (ShiftLimiter.tryShift(Context.Service, base::boot_clock::now()))
      return &*std::find_if(RegionQueues.begin(), RegionQueues.end(),
                            [&](const region_queue &RegionQueue) {
                              return RegionQueue.Region == *Chosen;
                            });
  }
  if (OwnRegion.Usable)
    return &RegionQueues.front();
  Counters.add(counter::ShiftRefused);
  return problem(problem_code::ShiftLimited, outcome::NotRun,
                 "the region has no usable target and the shift cap limits "
                 "the traffic that moves to other regions");
}

answer forwarder::slotRefusalAnswer(const request_context &Context,
                                    slot_refusal Refusal) {
  switch (Refusal) {
  case slot_refusal::QueueFull:
    Counters.add(counter::QueueFull);
    return problem(problem_code::QueueFull, outcome::NotRun,
                   "too many requests of service '" + Context.Service.str() +
                       "' are waiting");
  case slot_refusal::DeadlinePassed:
    Counters.add(counter::DeadlinePassed);
    return problem(problem_code::DeadlinePassed, outcome::NotRun,
                   "no target was free before the deadline");
  case slot_refusal::CallerGone:
    Counters.add(counter::CallerGone);
    return problem(
        problem_code::CallerGone, outcome::NotRun,
        "the caller closed the connection while the request was waiting");
  case slot_refusal::NoTarget:
    break;
  }
  return problem(problem_code::NoTarget, outcome::NotRun,
                 "no target of service '" + Context.Service.str() +
                     "' accepts new requests");
}

answer forwarder::run(const request_context &Context, const snapshot &Snapshot,
                      send_options Options) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    RetryBudget.countRequest(Context.Service);
    ShiftLimiter.countRequest(Context.Service, base::boot_clock::now());
  }
  slot_request Slot;
  Slot.ArrivalNumber = Context.ArrivalNumber;
  Slot.Deadline = Context.Deadline;
  Slot.CallerSocket = Context.Request->Socket;
  bool MayHaveRun = Options.MayHaveRun;
  // If any attempt may have run the request, its outcome is unknown, even if a
  // later attempt was certainly not run.
  const auto Finalize = [&MayHaveRun](answer Answer) {
    if (MayHaveRun && Answer.Outcome == outcome::NotRun)
      Answer.Outcome = outcome::Unknown;
    return Answer;
  };
  while (true) {
    auto Choice = chooseRegion(Context, Snapshot);
    if (auto *Refused = std::get_if<answer>(&Choice))
      return Finalize(std::move(*Refused));
    const region_queue &RegionQueue = *std::get<const region_queue *>(Choice);
    const bool IsOwnRegion = RegionQueue.Region == Snapshot.Self.Region;
    Slot.MaxPerTarget = IsOwnRegion && Options.IsDispatcher
                            ? std::numeric_limits<unsigned>::max()
                            : DirectSlotsPerTarget;
    const auto Target = RegionQueue.Queue->acquire(Slot);
    if (!Target)
      return Finalize(slotRefusalAnswer(Context, Target.error()));
    const base::boot_time Start = base::boot_clock::now();
    attempt Attempt{{outcome::Unknown, {}}};
    try {
      Attempt = tryOnce(Context, Snapshot, RegionQueue, Target.value());
    } catch (...) {
      RegionQueue.Queue->release(Target.value().Id, attempt_result::Cancelled,
                                 base::boot_clock::now() - Start);
      throw;
    }
    RegionQueue.Queue->release(Target.value().Id, Attempt.Result,
                               base::boot_clock::now() - Start);
    MayHaveRun = MayHaveRun || Attempt.Answer.Outcome == outcome::Unknown;
    Slot.Excluded.push_back(Target.value().Id);
    if (!Attempt.MayRetry || Slot.Excluded.size() > MaxRetries ||
        base::boot_clock::now() >= Context.Deadline ||
        CrashDetector.isBlocked(Context) || !tryRetry(Context.Service))
      return Finalize(std::move(Attempt.Answer));
    Slot.IsRetry = true;
  }
}

http::request forwarder::makeTargetRequest(const request_context &Context) {
  http::request Outgoing = Context.Request->Message;
  removeHopByHop(Outgoing.Headers);
  Outgoing.Headers.erase("Relayed-By");
  Outgoing.Target = Context.TargetPath;
  Outgoing.Headers["Request-Id"] =
      base::toString(Dependencies.Self().Incarnation) + "-" +
      std::to_string(++AttemptCount);
  Outgoing.Headers["Request-Deadline"] = formatDeadline(Context.WallDeadline);
  return Outgoing;
}

forwarder::attempt forwarder::tryOnce(const request_context &Context,
                                      const snapshot &Snapshot,
                                      const region_queue &RegionQueue,
                                      const config::target &Target) {
  auto Connection = Pool.acquire(
      Target.Address, std::min(Context.Deadline,
                               base::boot_clock::now() + TargetConnectTimeout));
  if (!Connection) {
    const bool AtLimit =
        Connection.error().Fault == exchange_fault::ConnectionLimit;
    Counters.add(AtLimit ? counter::ConnectionLimit : counter::ConnectFailed);
    return {problem(problem_code::TargetFailed, outcome::NotRun,
                    std::string("no connection to a target: ") +
                        http::toString(Connection.error().Fault)),
            true, AtLimit ? attempt_result::Cancelled : attempt_result::Failed};
  }
  http::request Outgoing = makeTargetRequest(Context);
  auto Demands =
      linkDemands(Snapshot.Self.Region, RegionQueue.Region, wireBytes(Outgoing),
                  Context.Settings->MaxAnswerBytes);
  Demands.push_back({caps::region_cap{RegionQueue.Region}, 1});
  return exchange(Context, Target, Connection.value(), Demands,
                  RegionQueue.Region, std::move(Outgoing));
}

std::optional<base::boot_time>
forwarder::takeCaps(const request_context &Context,
                    const std::vector<caps::demand> &Demands) {
  const base::boot_time WaitEnd =
      std::min(Context.Deadline, base::boot_clock::now() + CapWaitTimeout);
  for (;;) {
    const base::boot_time Now = base::boot_clock::now();
    if (Dependencies.TryTakeCaps(Demands))
      return Now;
    if (Now + CapRetryInterval >= WaitEnd)
      return std::nullopt;
    std::this_thread::sleep_for(CapRetryInterval);
  }
}

forwarder::attempt forwarder::exchange(
    const request_context &Context, const config::target &Target,
    targets::connection_pool::lease &Connection,
    const std::vector<caps::demand> &Demands,
    const base::region_name &TargetRegion, http::request Outgoing) {
  const auto TakenAt = takeCaps(Context, Demands);
  if (!TakenAt) {
    Counters.add(counter::CapRefused);
    return {problem(problem_code::CapExhausted, outcome::NotRun,
                    "the caps are exhausted for traffic into region " +
                        TargetRegion.str())};
  }
  const base::boot_time SentAt = *TakenAt;
  // The HTTP client reads the boot clock immediately before it sends and sends
  // nothing after either deadline. Units that were taken before a pause of the
  // process are therefore not used in a later window of the caps.
  http::exchange_limits Limits{Context.Deadline,
                               Context.Settings->MaxAnswerBytes,
                               Context.Request->Socket};
  Limits.SendBy = SentAt + SendTimeout;
  auto Response = Connection.exchange(Outgoing, Limits);
  Counters.add(counter::Attempts);
  if (Response) {
    refundAnswerBytes(Dependencies, Demands, TargetRegion,
                      wireBytes(Response.value()), SentAt);
    return classifyResponse(Context, Target, Outgoing.Headers["Request-Id"],
                            std::move(Response.value()), Connection);
  }
  if (Response.error().NothingSent)
    for (const caps::demand &Demand : Demands)
      Dependencies.RefundCap(Demand, SentAt);
  return classifyError(Context, Target, Response.error(), SentAt);
}

forwarder::attempt
forwarder::classifyResponse(const request_context &Context,
                            const config::target &Target, const std::string &Id,
                            http::response Response,
                            targets::connection_pool::lease &Connection) {
  if (http::findHeader(Response.Headers, "Request-Id") != Id) {
    Connection.discard();
    Counters.add(counter::AnswerOfOtherRequest);
    SKYLARKDYKE_LOG(WARNING, AnswerOfOtherRequest)
        << Target.Id.str() << " did not repeat Request-Id " << Id;
    return {problem(problem_code::TargetFailed, outcome::Unknown,
                    "a target's answer belongs to another request"),
            Context.IsSafe, attempt_result::Failed};
  }
  const bool IsShed = Response.Status == 503 &&
                      http::findHeader(Response.Headers, "Request-Outcome") ==
                          once::toString(outcome::NotRun);
  if (IsShed) {
    Counters.add(counter::Shed);
    return {problem(problem_code::TargetShed, outcome::NotRun,
                    "targets shed the request"),
            true, attempt_result::Shed};
  }
  const bool IsError = Response.Status >= 500;
  if (!IsError)
    CrashDetector.onSuccess(Context);
  removeHopByHop(Response.Headers);
  return {{outcome::Completed, std::move(Response)},
          false,
          IsError ? attempt_result::ErrorResponse : attempt_result::Completed};
}

static counter counterOf(exchange_fault Fault) {
  switch (Fault) {
  case exchange_fault::Truncated:
    return counter::AnswerTruncated;
  case exchange_fault::Malformed:
    return counter::AnswerMalformed;
  case exchange_fault::TooLarge:
  case exchange_fault::Endless:
    return counter::AnswerTooLarge;
  case exchange_fault::DeadlinePassed:
    return counter::DeadlinePassed;
  case exchange_fault::CallerGone:
    return counter::CallerGone;
  case exchange_fault::ConnectionLimit:
    return counter::ConnectionLimit;
  case exchange_fault::ConnectRefused:
  case exchange_fault::ConnectTimeout:
    return counter::ConnectFailed;
  case exchange_fault::ClosedWithoutAnswer:
    break;
  }
  return counter::AnswerMissing;
}

forwarder::attempt forwarder::classifyError(const request_context &Context,
                                            const config::target &Target,
                                            const http::exchange_error &Error,
                                            base::boot_time SentAt) {
  Counters.add(counterOf(Error.Fault));
  const outcome Outcome =
      Error.NothingSent ? outcome::NotRun : outcome::Unknown;
  switch (Error.Fault) {
  case exchange_fault::CallerGone:
    return {problem(problem_code::CallerGone, Outcome,
                    "the caller closed the connection")};
  case exchange_fault::DeadlinePassed: {
    // A time-out counts as a failure of the target only if the target had at
    // least half of the service's maximum wait; callers may set short
    // deadlines.
    const bool HadTime = base::boot_clock::now() - SentAt >=
                         Context.Settings->DefaultTimeout / 2;
    return {problem(problem_code::DeadlinePassed, Outcome,
                    "the deadline passed before a target answered"),
            false,
            HadTime ? attempt_result::Failed : attempt_result::Cancelled};
  }
  case exchange_fault::TooLarge:
    return {problem(problem_code::AnswerTooLarge, Outcome,
                    "the target's answer is larger than max_answer_bytes")};
  case exchange_fault::Endless:
    // A resource that is too large on every target fails like this, too, so
    // the target is judged as for an error response.
    return {problem(problem_code::AnswerTooLarge, Outcome,
                    "the target's answer exceeds max_answer_bytes or the limit "
                    "of the head and does not end"),
            Context.IsSafe, attempt_result::ErrorResponse};
  case exchange_fault::ClosedWithoutAnswer:
    // The target had closed an idle connection before the request was sent,
    // which is no sign of a crash.
    if (Error.NothingSent)
      break;
    CrashDetector.onConnectionLost(Context, Target);
    break;
  default:
    break;
  }
  return {
      problem(problem_code::TargetFailed, Outcome,
              std::string("a target failed: ") + http::toString(Error.Fault)),
      Error.NothingSent || Context.IsSafe,
      Error.NothingSent ? attempt_result::Cancelled : attempt_result::Failed};
}

} // namespace skylarkdyke::callers::detail
