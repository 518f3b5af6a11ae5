#include "callers/detail/relay.hpp"

#include "callers/detail/headers.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

using http::exchange_fault;
using once::outcome;

static constexpr std::uint64_t BitsPerByte = 8;
/// Longest wait for a connection to another entry. The remaining time until the
/// deadline is needed for the fallback: a direct send or the witness.
static constexpr std::chrono::milliseconds EntryConnectTimeout{250};
/// Additional time for the answer. The other entry answers at the deadline at
/// the latest, and its answer, which arrives slightly later, has more detail
/// than a time-out here.
static constexpr std::chrono::milliseconds AnswerGrace{20};
/// Answers of up to this size are accepted even if the service's limit is
/// lower, so that the problem details of an entry always fit.
static constexpr std::size_t MinAnswerBytes = 16384;

std::vector<caps::demand> linkDemands(const base::region_name &From,
                                      const base::region_name &To,
                                      std::size_t RequestBytes,
                                      std::size_t MaxAnswerBytes) {
  if (From == To)
    return {};
  return {{caps::link_cap{From, To}, RequestBytes * BitsPerByte},
          {caps::link_cap{To, From},
           (MaxAnswerBytes + http::MaxAnswerHeaderBytes) * BitsPerByte}};
}

void refundAnswerBytes(const dependencies &Dependencies,
                       const std::vector<caps::demand> &Taken,
                       const base::region_name &AnswerFrom,
                       std::size_t AnswerBytes, base::boot_time TakenAt) {
  for (const caps::demand &Demand : Taken) {
    const auto *Link = std::get_if<caps::link_cap>(&Demand.Cap);
    if (Link != nullptr && Link->From == AnswerFrom)
      Dependencies.RefundCap(
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
    return relay_fault::NotAccepted;
  return Error.Fault == exchange_fault::DeadlinePassed
             ? relay_fault::DeadlinePassed
             : relay_fault::AnswerLost;
}

/// Reads the outcome from the response of another entry. Returns an error if
/// the response is not from an entry or if the entry refused the relayed
/// request.
static base::result<answer, relay_fault> parseAnswer(http::response Response) {
  const auto Text = http::findHeader(Response.Headers, "Request-Outcome");
  if (!Text)
    return relay_fault::AnswerLost;
  if (Response.Status == statusOf(problem_code::Misdirected) &&
      *Text != once::toString(outcome::Completed))
    return relay_fault::NotAccepted;
  removeHopByHop(Response.Headers);
  for (const outcome Known : {outcome::Completed, outcome::NotRun})
    if (*Text == once::toString(Known))
      return answer{Known, std::move(Response)};
  return answer{outcome::Unknown, std::move(Response)};
}

base::result<answer, relay_fault> relay::send(const request_context &Context,
                                              const entries::member &From,
                                              const entries::member &To) {
  http::request Outgoing = Context.Request->Message;
  removeHopByHop(Outgoing.Headers);
  Outgoing.Headers["Relayed-By"] = base::toString(From.Incarnation);
  Outgoing.Headers["Request-Deadline"] = formatDeadline(Context.WallDeadline);
  const std::size_t MaxAnswerBytes =
      std::max(MinAnswerBytes,
               Context.Settings.value_or(config::service()).MaxAnswerBytes);
  const base::boot_time Now = base::boot_clock::now();
  auto Lease = Pool.acquire(
      To.CallerAddress, std::min(Context.Deadline, Now + EntryConnectTimeout));
  if (!Lease) {
    Counters.add(counter::RelayFailed);
    return relay_fault::NotAccepted;
  }
  const auto Demands =
      linkDemands(From.Region, To.Region, wireBytes(Outgoing), MaxAnswerBytes);
  const base::boot_time TakenAt = base::boot_clock::now();
  if (!Demands.empty() && !Dependencies.TryTakeCaps(Demands)) {
    Counters.add(counter::CapRefused);
    return relay_fault::CapRefused;
  }
  if (base::boot_clock::now() >= Context.Deadline)
    return relay_fault::NotAccepted;
  auto Answer = Lease.value().exchange(
      Outgoing, {Context.Deadline + AnswerGrace, MaxAnswerBytes,
                 Context.Request->Socket});
  if (!Answer) {
    if (Answer.error().NothingSent)
      for (const caps::demand &Demand : Demands)
        Dependencies.RefundCap(Demand, TakenAt);
    Counters.add(counter::RelayFailed);
    return faultOf(Answer.error());
  }
  refundAnswerBytes(Dependencies, Demands, To.Region, wireBytes(Answer.value()),
                    TakenAt);
  auto Parsed = parseAnswer(std::move(Answer.value()));
  if (!Parsed)
    Counters.add(counter::RelayFailed);
  return Parsed;
}

} // namespace skylarkdyke::callers::detail
