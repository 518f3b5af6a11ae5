#include "callers/detail/crash_guard.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/http/client.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

static constexpr std::size_t MaxFingerprints = 10'000;
/// Lost connections that are watched at once. More are counted and dropped: a
/// crash that loses more connections is seen by the others.
static constexpr std::size_t MaxSuspicions = 64;
/// A target that is down within this time has crashed.
static constexpr std::chrono::seconds WatchTime{1};
static constexpr std::chrono::milliseconds WatchInterval{50};
/// A health check in another region takes two round trips of up to 55 ms; one
/// that takes longer tells nothing.
static constexpr std::chrono::milliseconds CheckLimit{150};
static constexpr std::size_t MaxHealthBytes = 4096;

/// Tells whether a target refuses connections or closes them without an answer.
/// The second is how a crash shows behind an address translation, which accepts
/// the connection itself.
static bool isDown(const base::endpoint &Address) {
  http::request Request;
  Request.Target = "/health";
  const auto Answer =
      http::fetch(Address, Request,
                  {base::boot_clock::now() + CheckLimit, MaxHealthBytes, -1});
  if (Answer)
    return false;
  const http::exchange_fault Fault = Answer.error().Fault;
  return Fault == http::exchange_fault::ConnectRefused ||
         Fault == http::exchange_fault::ClosedWithoutAnswer;
}

crash_guard::crash_guard(const dependencies &Dependencies, counters &Counters)
    : Dependencies(Dependencies), Counters(Counters), Register(MaxFingerprints),
      Random(std::random_device()()), Suspicions(MaxSuspicions),
      Watching([this] { watch(); }) {}

crash_guard::~crash_guard() {
  Suspicions.close();
  Watching.join();
}

void crash_guard::onConnectionLost(const request_context &Context,
                                   const config::target &Target) {
  suspicion Suspicion;
  poison::crash_report &Report = Suspicion.Report;
  Report.Fingerprint = Context.Fingerprint;
  Report.Service = Context.Service;
  Report.Target = Target.Id;
  Report.Summary = Context.Source->Message.Method + " " + Context.TargetPath;
  Report.At = std::chrono::system_clock::now();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Report.ReportId = Random();
  }
  if (isDown(Target.Address))
    return confirm(Report);
  Suspicion.Address = Target.Address;
  Suspicion.Until = base::boot_clock::now() + WatchTime;
  if (!Suspicions.tryPush(std::move(Suspicion)))
    Counters.add(counter::CrashChecksDropped);
}

void crash_guard::confirm(const poison::crash_report &Report) {
  Counters.add(counter::Crashes);
  SKYLARKDYKE_LOG(WARNING, TargetCrashed)
      << Report.Target.str() << " of service " << Report.Service.str()
      << " while it ran " << Report.Summary;
  add(Report);
  Dependencies.ReportCrash(Report);
}

void crash_guard::watch() {
  std::vector<suspicion> Watched;
  while (true) {
    const base::boot_time Now = base::boot_clock::now();
    // Without a suspicion the thread sleeps until the ring gets one.
    auto Next = Suspicions.popUntil(
        Watched.empty() ? Now + std::chrono::hours(1) : Now + WatchInterval);
    if (Next)
      Watched.push_back(std::move(*Next));
    else if (Watched.empty() && Suspicions.isClosed())
      return;
    for (auto It = Watched.begin(); It != Watched.end();) {
      const bool Crashed = isDown(It->Address);
      if (Crashed)
        confirm(It->Report);
      const bool Over =
          Suspicions.isClosed() || base::boot_clock::now() >= It->Until;
      It = Crashed || Over ? Watched.erase(It) : std::next(It);
    }
  }
}

void crash_guard::onSuccess(const request_context &Context) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Register.clear(Context.Fingerprint);
}

bool crash_guard::isBlocked(const request_context &Context) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Register.isBlocked(Context.Fingerprint,
                            std::chrono::system_clock::now());
}

void crash_guard::add(const poison::crash_report &Report) {
  const base::wall_time Now = std::chrono::system_clock::now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool WasBlocked = Register.isBlocked(Report.Fingerprint, Now);
  Register.add(Report, Now);
  if (!WasBlocked && Register.isBlocked(Report.Fingerprint, Now))
    SKYLARKDYKE_LOG(WARNING, RequestBlocked)
        << Report.Summary << " of service " << Report.Service.str()
        << " crashes targets";
}

std::vector<poison::blocked_request> crash_guard::blocked() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Register.blocked(std::chrono::system_clock::now());
}

bool crash_guard::release(std::uint64_t Fingerprint) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Register.release(Fingerprint);
}

} // namespace skylarkdyke::callers::detail
