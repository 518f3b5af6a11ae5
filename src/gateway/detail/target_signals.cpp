#include "gateway/detail/target_signals.hpp"

#include "gateway/detail/exchange.hpp"

#include <algorithm>
#include <cstdlib>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using std::chrono::milliseconds;

/// Part of the drain time in which a leaving target gets no more requests, so
/// that those sent before end in time.
static constexpr milliseconds LeavingMargin{250};

/// Parses a number of seconds, which may have a fraction. Signs, exponents,
/// dates and other texts are not accepted.
static std::optional<std::chrono::duration<double>>
parseSeconds(const std::string &Text) {
  const bool IsNumber =
      Text.find_first_of("0123456789") != std::string::npos &&
      Text.find_first_not_of("0123456789.") == std::string::npos &&
      std::count(Text.begin(), Text.end(), '.') <= 1;
  if (!IsNumber)
    return std::nullopt;
  return std::chrono::duration<double>(std::strtod(Text.c_str(), nullptr));
}

static void readPause(const std::string &RetryAfter, target_signals &Signals) {
  const auto Seconds = parseSeconds(RetryAfter);
  if (!Seconds || *Seconds > MaxPause)
    Signals.UnusualRetryAfter = RetryAfter;
  if (Seconds && Seconds->count() > 0)
    Signals.Pause = std::chrono::duration_cast<milliseconds>(
        std::min<std::chrono::duration<double>>(*Seconds, MaxPause));
}

target_signals readTargetSignals(const bhttp::response_header<> &Head,
                                 const header_names &Headers) {
  target_signals Signals;
  if (Head.result_int() == 421)
    return Signals;
  Signals.Leaving = std::any_of(
      Headers.Leaving.begin(), Headers.Leaving.end(),
      [&Head](const std::string &Name) { return Head[Name] == "1"; });
  // Whether the target has run the request does not matter for the pause.
  if (Head.result_int() == 503 && Head.count(bhttp::field::retry_after) != 0)
    readPause(std::string(Head[bhttp::field::retry_after]), Signals);
  return Signals;
}

static void countSignal(steering_context &Context, const char *Signal) {
  Context.Metrics
      .counter("skylarkdyke_target_signals_total",
               "Statements of targets about themselves in responses",
               {{"signal", Signal}})
      .add();
}

static void recordLeaving(steering_context &Context,
                          const placement::chosen_target &Chosen,
                          base::boot_time Now) {
  const auto UsableFor =
      std::max(milliseconds(0), Context.DrainTime - LeavingMargin);
  if (!Context.State.recordLeaving({Chosen.incarnation(),
                                    placement::leaving_source::Response, Now,
                                    Now + UsableFor}))
    return;
  Context.Pool.closeIdle(Chosen.Id);
  countSignal(Context, "leaving");
  SKYLARKDYKE_DECISION(Context.Log, TargetLeaving, Now,
                       {{"target", Chosen.Id.str()},
                        {"source", "response"},
                        {"usable_ms", std::chrono::nanoseconds(UsableFor)}});
}

static void recordPause(steering_context &Context,
                        const placement::chosen_target &Chosen,
                        const routing::service &Service, milliseconds Pause,
                        base::boot_time Now) {
  Context.Placer.recordPause(Service, Chosen.incarnation(), Now + Pause);
  countSignal(Context, "pause");
  SKYLARKDYKE_DECISION(Context.Log, TargetPauses, Now,
                       {{"target", Chosen.Id.str()},
                        {"pause_ms", std::chrono::nanoseconds(Pause)}});
}

void recordTargetSignals(steering_context &Context,
                         const placement::chosen_target &Chosen,
                         const routing::service &Service,
                         const bhttp::response_header<> &Head) {
  const auto Now = base::boot_clock::now();
  const target_signals Signals = readTargetSignals(Head, Context.Headers);
  if (Signals.Leaving)
    recordLeaving(Context, Chosen, Now);
  if (Signals.Pause)
    recordPause(Context, Chosen, Service, *Signals.Pause, Now);
  if (Signals.UnusualRetryAfter.empty())
    return;
  countSignal(Context, "unusual_pause");
  SKYLARKDYKE_DECISION(
      Context.Log, RetryAfterUnusual, Now,
      {{"target", Chosen.Id.str()},
       {"retry_after", Signals.UnusualRetryAfter.substr(0, 64)}});
}

} // namespace skylarkdyke::gateway::detail
