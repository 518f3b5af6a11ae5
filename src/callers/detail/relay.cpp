#include "callers/detail/relay.hpp"

#include "callers/detail/headers.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

using http::exchange_fault;
using once::outcome;

static constexpr std::uint64_t BitsPerByte = 8;
/// Longest wait for a connection to another entry. The rest of the deadline is
/// left for the request's second way: a direct send or the witness.
static constexpr std::chrono::milliseconds ConnectLimit{250};
/// The other entry answers at the deadline; its answer says more than a timeout
/// here and arrives a little later.
static constexpr std::chrono::milliseconds AnswerGrace{20};
/// Largest problem details of an entry, whatever the service's bound.
static constexpr std::size_t MinAnswerBytes = 16384;

std::vector<caps::demand> linkDemands(const base::region_name &From,
                                      const base::region_name &To,
                                      std::size_t RequestBytes,
                                      std::size_t MaxAnswerBytes) {
  if (From == To)
    return {};
  return {{caps::link_cap{From, To}, RequestBytes * BitsPerByte},
          {caps::link_cap{To, From},
           (MaxAnswerBytes + MaxAnswerHeaderBytes) * BitsPerByte}};
}

void giveBackAnswerBytes(const dependencies &Dependencies,
                         const std::vector<caps::demand> &Taken,
                         const base::region_name &AnswerFrom,
                         std::size_t AnswerBytes, base::boot_time TakenAt) {
  for (const caps::demand &Demand : Taken) {
    const auto *Link = std::get_if<caps::link_cap>(&Demand.Cap);
    if (Link != nullptr && Link->From == AnswerFrom)
      Dependencies.GiveBackCap(
          {Demand.Cap,
           Demand.Amount - std::min<std::uint64_t>(Demand.Amount,
                                                   AnswerBytes * BitsPerByte)},
          TakenAt);
  }
}

relay::relay(const dependencies &Dependencies, counters &Counters)
    : Dependencies(Dependencies), Counters(Counters) {}

static relay_fault faultOf(const http::exchange_error &Error) {
  if (Error.Fault == exchange_fault::CallerGone)
    return relay_fault::CallerGone;
  if (Error.NothingSent)
    return relay_fault::NotTaken;
  return Error.Fault == exchange_fault::DeadlinePassed
             ? relay_fault::DeadlinePassed
             : relay_fault::Lost;
}

/// Reads the outcome that another entry gave. Nothing if it did not come from
/// an entry or if that one refused the relay.
static base::result<answer, relay_fault> readAnswer(http::response Response) {
  const auto Text = http::findHeader(Response.Headers, "Request-Outcome");
  if (!Text)
    return relay_fault::Lost;
  if (Response.Status == statusOf(problem_code::Misdirected) &&
      *Text != once::toString(outcome::Completed))
    return relay_fault::NotTaken;
  removeHopByHop(Response.Headers);
  for (const outcome One : {outcome::Completed, outcome::NotRun})
    if (*Text == once::toString(One))
      return answer{One, std::move(Response)};
  return answer{outcome::Unknown, std::move(Response)};
}

base::result<answer, relay_fault> relay::send(const request_context &Context,
                                              const entries::member &From,
                                              const entries::member &To) {
  http::request Outgoing = Context.Source->Message;
  removeHopByHop(Outgoing.Headers);
  Outgoing.Headers["Relayed-By"] = base::toString(From.Incarnation);
  Outgoing.Headers["Request-Deadline"] = formatDeadline(Context.WallDeadline);
  const std::size_t MaxAnswerBytes =
      std::max(MinAnswerBytes,
               Context.Settings.value_or(config::service()).MaxAnswerBytes);
  const base::boot_time Now = base::boot_clock::now();
  auto Lease = Pool.acquire(To.CallerAddress,
                            std::min(Context.Deadline, Now + ConnectLimit));
  if (!Lease) {
    Counters.add(counter::RelayFailed);
    return relay_fault::NotTaken;
  }
  const auto Demands =
      linkDemands(From.Region, To.Region, wireBytes(Outgoing), MaxAnswerBytes);
  const base::boot_time TakenAt = base::boot_clock::now();
  if (!Demands.empty() && !Dependencies.TryTakeCaps(Demands)) {
    Counters.add(counter::CapRefused);
    return relay_fault::CapRefused;
  }
  if (base::boot_clock::now() >= Context.Deadline)
    return relay_fault::NotTaken;
  auto Answer = Lease.value().exchange(
      Outgoing,
      {Context.Deadline + AnswerGrace, MaxAnswerBytes, Context.Source->Socket});
  if (!Answer) {
    if (Answer.error().NothingSent)
      for (const caps::demand &Demand : Demands)
        Dependencies.GiveBackCap(Demand, TakenAt);
    Counters.add(counter::RelayFailed);
    return faultOf(Answer.error());
  }
  giveBackAnswerBytes(Dependencies, Demands, To.Region,
                      wireBytes(Answer.value()), TakenAt);
  auto Read = readAnswer(std::move(Answer.value()));
  if (!Read)
    Counters.add(counter::RelayFailed);
  return Read;
}

} // namespace skylarkdyke::callers::detail
