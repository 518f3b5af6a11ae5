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

/// Longest wait for a connection to a target: 250 times what one takes on the
/// deployments, and short enough to try another target.
/// Longest wait for a share of the caps: a loan arrives within an exchange
/// interval of 250 ms and a round trip of up to 55 ms. Only requests that hold
/// a slot wait here, so their number is bounded.
static constexpr std::chrono::milliseconds CapWait{400};
/// Each try counts as demand when share is borrowed, so tries are kept few.
static constexpr std::chrono::milliseconds CapRetryInterval{50};
/// Time from taking share of the caps to sending.
static constexpr std::chrono::milliseconds SendLimit{20};
static constexpr std::chrono::milliseconds ConnectLimit{250};
static constexpr unsigned DirectSlotsPerTarget = 1;

forwarder::forwarder(const dependencies &Dependencies, counters &Counters,
                     crash_guard &Crashes)
    : Dependencies(Dependencies), Counters(Counters), Crashes(Crashes) {}

void forwarder::configure(const document_tables &Tables) {
  const config::document &Document = *Tables.Document;
  std::map<base::endpoint, unsigned> Limits;
  // All entries together stay within a target's bound, whoever dispatches.
  for (const config::target &Target : Document.Targets)
    Limits[Target.Address] =
        Target.MaxConnections / std::max(1U, Document.EntrySeats);
  Pool.configure(std::move(Limits));
  const std::lock_guard<std::mutex> Lock(Mutex);
  Shift.setCap(Document.ShiftCapPercentPerSecond);
}

bool forwarder::tryRetry(const base::service_name &Service) {
  bool Allowed = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Allowed = Budget.tryRetry(Service);
  }
  Counters.add(Allowed ? counter::Retries : counter::RetriesRefused);
  return Allowed;
}

/// What an idle queue answers at once is not worth a look at other regions.
static bool isFree(const region_queue &Place) {
  return Place.Queue->usableSlots() > 0 &&
         Place.Queue->expectedWait() == std::chrono::nanoseconds(0);
}

static steering::region_option optionOf(const region_queue &Place) {
  return {Place.Region, Place.Queue->usableSlots() > 0,
          Place.Queue->expectedWait(), Place.RoundTrip};
}

std::variant<const region_queue *, answer>
forwarder::chooseRegion(const request_context &Context,
                        const snapshot &Snapshot) {
  const auto Found = Snapshot.Queues.find(Context.Service);
  if (Found == Snapshot.Queues.end())
    return problem(problem_code::NoTarget, outcome::NotRun,
                   "service '" + Context.Service.str() + "' has no target");
  const std::vector<region_queue> &Places = Found->second;
  const bool HasOwn = Places.front().Region == Snapshot.Self.Region;
  if (HasOwn && (Places.size() == 1 || isFree(Places.front())))
    return &Places.front();
  steering::region_option Own{Snapshot.Self.Region};
  std::vector<steering::region_option> Others;
  for (const region_queue &Place : Places) {
    if (Place.Region == Snapshot.Self.Region)
      Own = optionOf(Place);
    else
      Others.push_back(optionOf(Place));
  }
  const auto Chosen = steering::chooseRegion(Own, Others);
  // Without a usable target anywhere the request waits in its own region for
  // one to return.
  if (HasOwn && (!Chosen || *Chosen == Snapshot.Self.Region))
    return &Places.front();
  if (!Chosen)
    return problem(problem_code::NoTarget, outcome::NotRun,
                   "no region has a target that takes new work");
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Shift.tryShift(Context.Service, base::boot_clock::now()))
      return &*std::find_if(
          Places.begin(), Places.end(),
          [&](const region_queue &Place) { return Place.Region == *Chosen; });
  }
  if (Own.Usable)
    return &Places.front();
  Counters.add(counter::ShiftRefused);
  return problem(problem_code::ShiftLimited, outcome::NotRun,
                 "the region has no target and its traffic moves to others "
                 "only within the shift cap");
}

answer forwarder::refusal(const request_context &Context,
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
    return problem(problem_code::CallerGone, outcome::NotRun,
                   "the caller left while the request was waiting");
  case slot_refusal::NoTarget:
    break;
  }
  return problem(problem_code::NoTarget, outcome::NotRun,
                 "no target of service '" + Context.Service.str() +
                     "' takes new work");
}

answer forwarder::run(const request_context &Context, const snapshot &Snapshot,
                      send_rights Rights) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Budget.countRequest(Context.Service);
    Shift.countRequest(Context.Service, base::boot_clock::now());
  }
  slot_request Slot;
  Slot.Arrival = Context.Arrival;
  Slot.Deadline = Context.Deadline;
  Slot.CallerSocket = Context.Source->Socket;
  bool MayHaveRun = Rights.MayHaveRun;
  // A request that may have been run by one attempt stays unknown, even if a
  // later attempt was certainly not run.
  const auto Final = [&MayHaveRun](answer Answer) {
    if (MayHaveRun && Answer.Outcome == outcome::NotRun)
      Answer.Outcome = outcome::Unknown;
    return Answer;
  };
  while (true) {
    auto Choice = chooseRegion(Context, Snapshot);
    if (auto *Refused = std::get_if<answer>(&Choice))
      return Final(std::move(*Refused));
    const region_queue &Place = *std::get<const region_queue *>(Choice);
    const bool IsOwn = Place.Region == Snapshot.Self.Region;
    Slot.MaxPerTarget = IsOwn && Rights.IsDispatcher
                            ? std::numeric_limits<unsigned>::max()
                            : DirectSlotsPerTarget;
    const auto Target = Place.Queue->acquire(Slot);
    if (!Target)
      return Final(refusal(Context, Target.error()));
    const base::boot_time Start = base::boot_clock::now();
    attempt Attempt{{outcome::Unknown, {}}};
    try {
      Attempt = tryOnce(Context, Snapshot, Place, Target.value());
    } catch (...) {
      Place.Queue->release(Target.value().Id, attempt_result::Cancelled,
                           base::boot_clock::now() - Start);
      throw;
    }
    Place.Queue->release(Target.value().Id, Attempt.Result,
                         base::boot_clock::now() - Start);
    MayHaveRun = MayHaveRun || Attempt.Answer.Outcome == outcome::Unknown;
    Slot.Excluded.push_back(Target.value().Id);
    if (!Attempt.MayRetry || Slot.Excluded.size() > MaxRetries ||
        base::boot_clock::now() >= Context.Deadline ||
        Crashes.isBlocked(Context) || !tryRetry(Context.Service))
      return Final(std::move(Attempt.Answer));
    Slot.IsRetry = true;
  }
}

http::request forwarder::outgoing(const request_context &Context) {
  http::request Outgoing = Context.Source->Message;
  removeHopByHop(Outgoing.Headers);
  Outgoing.Headers.erase("Relayed-By");
  Outgoing.Target = Context.TargetPath;
  Outgoing.Headers["Request-Id"] =
      base::toString(Dependencies.Self().Incarnation) + "-" +
      std::to_string(++Attempts);
  Outgoing.Headers["Request-Deadline"] = formatDeadline(Context.WallDeadline);
  return Outgoing;
}

forwarder::attempt forwarder::tryOnce(const request_context &Context,
                                      const snapshot &Snapshot,
                                      const region_queue &Place,
                                      const config::target &Target) {
  auto Connection = Pool.acquire(
      Target.Address,
      std::min(Context.Deadline, base::boot_clock::now() + ConnectLimit));
  if (!Connection) {
    const bool AtLimit =
        Connection.error().Fault == exchange_fault::ConnectionLimit;
    Counters.add(AtLimit ? counter::ConnectionLimit : counter::ConnectFailed);
    return {problem(problem_code::TargetFailed, outcome::NotRun,
                    std::string("no connection to a target: ") +
                        http::toString(Connection.error().Fault)),
            true, AtLimit ? attempt_result::Cancelled : attempt_result::Failed};
  }
  http::request Outgoing = outgoing(Context);
  auto Demands =
      linkDemands(Snapshot.Self.Region, Place.Region, wireBytes(Outgoing),
                  Context.Settings->MaxAnswerBytes);
  Demands.push_back({caps::region_cap{Place.Region}, 1});
  return exchange(Context, Target, Connection.value(), Demands, Place.Region,
                  std::move(Outgoing));
}

std::optional<base::boot_time>
forwarder::takeCaps(const request_context &Context,
                    const std::vector<caps::demand> &Demands) {
  const base::boot_time GiveUp =
      std::min(Context.Deadline, base::boot_clock::now() + CapWait);
  for (;;) {
    const base::boot_time Now = base::boot_clock::now();
    if (Dependencies.TryTakeCaps(Demands))
      return Now;
    if (Now + CapRetryInterval >= GiveUp)
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
                    "no share is left of the caps into region " +
                        TargetRegion.str())};
  }
  const base::boot_time SentAt = *TakenAt;
  // The client reads the boot clock immediately before it sends and sends
  // nothing after either deadline, so units that were taken before a pause of
  // the process are not used in a later window of the caps.
  http::exchange_limits Limits{Context.Deadline,
                               Context.Settings->MaxAnswerBytes,
                               Context.Source->Socket};
  Limits.SendBy = SentAt + SendLimit;
  auto Response = Connection.exchange(Outgoing, Limits);
  Counters.add(counter::Attempts);
  if (Response) {
    giveBackAnswerBytes(Dependencies, Demands, TargetRegion,
                        wireBytes(Response.value()), SentAt);
    return judgeAnswer(Context, Target, Outgoing.Headers["Request-Id"],
                       std::move(Response.value()), Connection);
  }
  if (Response.error().NothingSent)
    for (const caps::demand &Demand : Demands)
      Dependencies.GiveBackCap(Demand, SentAt);
  return judgeFault(Context, Target, Response.error(), SentAt);
}

forwarder::attempt
forwarder::judgeAnswer(const request_context &Context,
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
    Crashes.onSuccess(Context);
  removeHopByHop(Response.Headers);
  return {{outcome::Completed, std::move(Response)},
          false,
          IsError ? attempt_result::ErrorAnswer : attempt_result::Completed};
}

static counter counterOf(exchange_fault Fault) {
  switch (Fault) {
  case exchange_fault::Truncated:
    return counter::AnswerTruncated;
  case exchange_fault::Malformed:
    return counter::AnswerMalformed;
  case exchange_fault::TooLarge:
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

forwarder::attempt forwarder::judgeFault(const request_context &Context,
                                         const config::target &Target,
                                         const http::exchange_error &Error,
                                         base::boot_time SentAt) {
  Counters.add(counterOf(Error.Fault));
  const outcome Outcome =
      Error.NothingSent ? outcome::NotRun : outcome::Unknown;
  switch (Error.Fault) {
  case exchange_fault::CallerGone:
    return {problem(problem_code::CallerGone, Outcome, "the caller left")};
  case exchange_fault::DeadlinePassed: {
    // A deadline that a caller set too early says nothing about the target.
    const bool HadTime =
        base::boot_clock::now() - SentAt >= Context.Settings->MaxWait / 2;
    return {problem(problem_code::DeadlinePassed, Outcome,
                    "the deadline passed before a target answered"),
            false,
            HadTime ? attempt_result::Failed : attempt_result::Cancelled};
  }
  case exchange_fault::TooLarge:
    return {problem(problem_code::AnswerTooLarge, Outcome,
                    "the target's answer is larger than max_answer_bytes")};
  case exchange_fault::ClosedWithoutAnswer:
    // A connection that had closed before the request was sent was idle.
    if (Error.NothingSent)
      break;
    Crashes.onConnectionLost(Context, Target);
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
