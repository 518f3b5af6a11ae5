#include "skylarkdyke/entry/entry.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/store/config_watcher.hpp"
#include "skylarkdyke/targets/prober.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkdyke::entry {

/// Interval of the control tick.
static constexpr std::chrono::milliseconds TickInterval{100};

struct entry::impl {
  explicit impl(settings::entry_settings Given)
      : Settings(std::move(Given)), Incarnation(base::drawIncarnation()),
        Store(Settings.Store), Watcher(Store, Config),
        Callers(Settings, dependencies()),
        Prober([this](const targets::probe_result &Result) {
          Callers.reportProbe(Result);
        }),
        CallerServer(Settings.CallerListen, http::server_limits(),
                     [this](const http::server_request &Request) {
                       return Callers.handle(Request);
                     }) {}

  callers::dependencies dependencies();
  entries::member self() const;
  void tick();
  void stopTicking();

  settings::entry_settings Settings;
  const base::incarnation_id Incarnation;
  config::holder Config;
  store::client Store;
  store::config_watcher Watcher;
  callers::caller_service Callers;
  targets::prober Prober;
  http::server CallerServer;
  std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  std::thread Ticking;
};

entries::member entry::impl::self() const {
  entries::member Self;
  Self.Name = Settings.Name;
  Self.Incarnation = Incarnation;
  Self.Region = Settings.Region;
  Self.Domain = Settings.Domain;
  Self.CallerAddress = Settings.CallerAddress;
  Self.PeerAddress = Settings.PeerAddress;
  Self.Ready = Config.current() != nullptr;
  Self.Reachable = true;
  return Self;
}

/// An entry without peers: it owns all caps and has no witness.
callers::dependencies entry::impl::dependencies() {
  callers::dependencies Functions;
  Functions.Document = [this] { return Config.current(); };
  Functions.Self = [this] { return self(); };
  Functions.Members = [] { return std::vector<entries::member>(); };
  Functions.TryTakeCaps = [](const std::vector<caps::demand> &) {
    return true;
  };
  Functions.GiveBackCap = [](const caps::demand &, base::boot_time) {};
  Functions.RecordIntent = [](const once::idempotency_key &, base::boot_time) {
    return std::optional<once::record_result>();
  };
  Functions.SealOwner = [](const once::idempotency_key &, base::boot_time) {
    return std::optional<once::seal_result>();
  };
  Functions.IncarnationSealed = [](base::incarnation_id) {};
  Functions.ReportCrash = [](const poison::crash_report &) {};
  return Functions;
}

void entry::impl::tick() {
  std::shared_ptr<const config::document> Probed;
  std::unique_lock<std::mutex> Lock(Mutex);
  while (!Stopping) {
    Callers.refresh();
    const auto Document = Config.current();
    if (Document != Probed) {
      Prober.configure(Document->Targets);
      Probed = Document;
    }
    Stopped.wait_for(Lock, TickInterval);
  }
}

void entry::impl::stopTicking() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Stopped.notify_all();
  if (Ticking.joinable())
    Ticking.join();
}

entry::entry(settings::entry_settings Settings)
    : Impl(std::make_unique<impl>(std::move(Settings))) {}

entry::~entry() { Impl->stopTicking(); }

bool entry::start() {
  if (!Impl->CallerServer.start())
    return false;
  Impl->Watcher.start();
  Impl->Prober.start();
  Impl->Ticking = std::thread([this] { Impl->tick(); });
  SKYLARKDYKE_LOG(INFO, EntryStarted)
      << Impl->Settings.Name.str() << " serves callers on "
      << base::toString(Impl->Settings.CallerAddress);
  return true;
}

void entry::stop() {
  SKYLARKDYKE_LOG(INFO, EntryLeaving) << Impl->Settings.Name.str();
  Impl->stopTicking();
  Impl->Prober.stop();
  Impl->Watcher.stop();
  Impl->CallerServer.stop();
  SKYLARKDYKE_LOG(INFO, EntryStopped) << Impl->Settings.Name.str();
}

} // namespace skylarkdyke::entry
