#include "callers/detail/crash_detector.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/http/client.hpp"

#include <algorithm>

namespace skylarkdyke::callers::detail {

static constexpr std::size_t MaxFingerprints = 10'000;
/// Maximum number of lost connections that are watched at once. Further ones
/// are counted and dropped: if a crash closes more connections than this, the
/// watched ones suffice to detect it.
static constexpr std::size_t MaxSuspects = 64;
/// A target that goes down within this time after a lost connection has
/// crashed.
static constexpr std::chrono::seconds WatchDuration{1};
static constexpr std::chrono::milliseconds WatchInterval{50};
/// A health check in another region takes two round trips of up to 55 ms each.
/// A check that times out does not count as a crash.
static constexpr std::chrono::milliseconds HealthCheckTimeout{150};
static constexpr std::size_t MaxHealthResponseBytes = 4096;

/// True if a target refuses connections or closes them without an answer. The
/// latter is how a crash appears behind network address translation (NAT),
/// which accepts the connection itself.
static bool isDown(const base::endpoint &Address) {
  http::request Request;
  Request.Target = "/health";
  const auto Answer = http::fetch(Address, Request,
                                  {base::boot_clock::now() + HealthCheckTimeout,
                                   MaxHealthResponseBytes, -1});
  if (Answer)
    return false;
  const http::exchange_fault Fault = Answer.error().Fault;
  return Fault == http::exchange_fault::ConnectRefused ||
         Fault == http::exchange_fault::ClosedWithoutAnswer;
}

crash_detector::crash_detector(const dependencies &Dependencies,
                               counters &Counters)
    : Dependencies(Dependencies), Counters(Counters),
      CrashRegister(MaxFingerprints), Random(std::random_device()()),
      Suspects(MaxSuspects), WatchThread([this] { watch(); }) {}

crash_detector::~crash_detector() {
  Suspects.close();
  WatchThread.join();
}

void crash_detector::onConnectionLost(const request_context &Context,
                                      const config::target &Target) {
  suspected_crash Suspect;
  poison::crash_report &Report = Suspect.Report;
  Report.Fingerprint = Context.Fingerprint;
  Report.Service = Context.Service;
  Report.Target = Target.Id;
  Report.Summary = Context.Request->Message.Method + " " + Context.TargetPath;
  Report.At = std::chrono::system_clock::now();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Report.ReportId = Random();
  }
  if (isDown(Target.Address))
    return confirm(Report);
  Suspect.Address = Target.Address;
  Suspect.WatchUntil = base::boot_clock::now() + WatchDuration;
  if (!Suspects.tryPush(std::move(Suspect)))
    Counters.add(counter::CrashChecksDropped);
}

void crash_detector::confirm(const poison::crash_report &Report) {
  Counters.add(counter::Crashes);
  SKYLARKDYKE_LOG(WARNING, TargetCrashed)
      << Report.Target.str() << " of service " << Report.Service.str()
      << " while it ran " << Report.Summary;
  add(Report);
  Dependencies.ReportCrash(Report);
}

void crash_detector::watch() {
  std::vector<suspected_crash> Watched;
  while (true) {
    const base::boot_time Now = base::boot_clock::now();
    // Without a suspected crash the thread sleeps until the queue gets one.
    auto NewSuspect = Suspects.popUntil(
        Watched.empty() ? Now + std::chrono::hours(1) : Now + WatchInterval);
    if (NewSuspect)
      Watched.push_back(std::move(*NewSuspect));
    else if (Watched.empty() && Suspects.isClosed())
      return;
    for (auto It = Watched.begin(); It != Watched.end();) {
      const bool Crashed = isDown(It->Address);
      if (Crashed)
        confirm(It->Report);
      const bool WatchEnded =
          Suspects.isClosed() || base::boot_clock::now() >= It->WatchUntil;
      It = Crashed || WatchEnded ? Watched.erase(It) : std::next(It);
    }
  }
}

void crash_detector::onSuccess(const request_context &Context) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  CrashRegister.clear(Context.Fingerprint);
}

bool crash_detector::isBlocked(const request_context &Context) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return CrashRegister.isBlocked(Context.Fingerprint, base::boot_clock::now());
}

void crash_detector::add(const poison::crash_report &Report) {
  const base::boot_time Now = base::boot_clock::now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool WasBlocked = CrashRegister.isBlocked(Report.Fingerprint, Now);
  CrashRegister.add({Report.ReportId, Report.Fingerprint, Report.Service,
                     Report.Target, Report.Summary,
                     base::toBootTime(Report.At)},
                    Now);
  if (!WasBlocked && CrashRegister.isBlocked(Report.Fingerprint, Now))
    SKYLARKDYKE_LOG(WARNING, RequestBlocked)
        << Report.Summary << " of service " << Report.Service.str()
        << " crashes targets";
}

std::vector<poison::blocked_request> crash_detector::blocked() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return CrashRegister.blocked(base::boot_clock::now());
}

bool crash_detector::release(std::uint64_t Fingerprint) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return CrashRegister.release(Fingerprint);
}

} // namespace skylarkdyke::callers::detail
