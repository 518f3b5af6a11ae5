#include "skylarkdyke/entry/entry.hpp"

#include "entry/detail/control_loop.hpp"
#include "entry/detail/identity.hpp"
#include "entry/detail/metrics_page.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/entries/config_exchange.hpp"
#include "skylarkdyke/entries/crash_exchange.hpp"
#include "skylarkdyke/entries/loan_exchange.hpp"
#include "skylarkdyke/entries/witness_service.hpp"
#include "skylarkdyke/store/config_watcher.hpp"
#include "skylarkdyke/store/seat_claimer.hpp"
#include "skylarkdyke/targets/prober.hpp"

#include <mutex>
#include <thread>

namespace skylarkdyke::entry {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds TickInterval = 100ms;
/// Time after which an entry stops waiting for peers that do not answer, so
/// that a dead peer does not keep it from becoming ready.
constexpr std::chrono::seconds PeerWait = 2s;
/// Longest time that a graceful stop waits for lookup answers to expire and for
/// requests in flight.
constexpr std::chrono::seconds MaxDrainTime = 60s;
constexpr std::size_t MaxWitnessRecords = 200'000;

entries::mesh_settings meshSettings(const settings::entry_settings &Settings,
                                    const entries::member &Self) {
  entries::mesh_settings Result;
  Result.Self = Self;
  Result.ListenAddress = Settings.PeerListen;
  Result.Seeds = Settings.Seeds;
  return Result;
}

} // namespace

struct entry::impl {
  explicit impl(settings::entry_settings Given);
  /// Ends the threads that call into members, also after a start that failed.
  ~impl();

  callers::dependencies callerDependencies();
  void publishSelf();
  void tick();
  void updateReadiness();
  void updateSeat();
  void updateTargets();
  http::response administer(const http::server_request &Request);
  bool startServers();
  void drain();
  void releaseSeat();

  settings::entry_settings Settings;
  detail::identity Identity;
  /// Orders the publications of the identity, so that the last one is the
  /// latest state.
  std::mutex Publishing;
  config::holder Config;
  store::client Store;
  entries::guarded_ledger Shares;
  entries::mesh Mesh;
  entries::config_exchange Configs;
  entries::loan_exchange Loans;
  entries::witness_service Witness;
  detail::metrics_page Metrics;
  entries::crash_exchange Crashes;
  /// Its thread that watches crashed targets reports to Crashes until it ends.
  callers::caller_service Callers;
  store::config_watcher Watcher;
  store::seat_claimer Seat;
  targets::prober Prober;
  http::server CallerServer;
  http::server AdminServer;
  detail::control_loop Control;
  base::boot_time StopWaitingForPeers;
  std::shared_ptr<const config::document> Applied;
  bool IsReady = false;
};

entry::impl::impl(settings::entry_settings Given)
    : Settings(std::move(Given)), Identity(Settings), Store(Settings.Store),
      Shares(Identity.current().Incarnation),
      Mesh(meshSettings(Settings, Identity.current())),
      Configs(Mesh, Config, [this](const auto &) { Control.wake(); }),
      Loans(Mesh, Shares), Witness(Mesh, MaxWitnessRecords),
      Crashes(Mesh,
              [this](const poison::crash_report &Report) {
                Callers.addCrash(Report);
              }),
      Callers(Settings, callerDependencies(),
              [this](const base::service_name &Service,
                     std::chrono::nanoseconds Latency, once::outcome Outcome) {
                Metrics.observe(Service, Latency, Outcome);
              }),
      Watcher(Store, Config, [this](const auto &) { Control.wake(); }),
      Seat(Store, {}, Identity.current().Incarnation, Settings.Name),
      Prober([this](const targets::probe_result &Result) {
        Callers.reportProbe(Result);
      }),
      CallerServer(Settings.CallerListen, http::server_limits(),
                   [this](const http::server_request &Request) {
                     return Callers.handle(Request);
                   }),
      AdminServer(Settings.AdminAddress, http::server_limits(),
                  [this](const http::server_request &Request) {
                    return administer(Request);
                  }),
      Control(TickInterval, [this] { tick(); }) {}

entry::impl::~impl() {
  Control.stop();
  CallerServer.stop();
  AdminServer.stop();
  Prober.stop();
  Watcher.stop();
  Mesh.stop();
}

callers::dependencies entry::impl::callerDependencies() {
  callers::dependencies Functions;
  Functions.Document = [this] { return Config.current(); };
  Functions.Self = [this] { return Identity.current(); };
  Functions.Members = [this] { return Mesh.members(); };
  Functions.TryTakeCaps = [this](const std::vector<caps::demand> &Demands) {
    const std::lock_guard<std::mutex> Lock(Shares.Mutex);
    return Shares.Ledger.tryTake(Demands, base::boot_clock::now());
  };
  Functions.GiveBackCap = [this](const caps::demand &Demand,
                                 base::boot_time TakenAt) {
    const std::lock_guard<std::mutex> Lock(Shares.Mutex);
    Shares.Ledger.giveBack(Demand, TakenAt, base::boot_clock::now());
  };
  Functions.RecordIntent = [this](const once::idempotency_key &Key,
                                  base::boot_time Deadline) {
    return Witness.recordIntent(Key, Deadline);
  };
  Functions.SealOwner = [this](const once::idempotency_key &Key,
                               base::boot_time Deadline) {
    return Witness.sealOwner(Key, Deadline);
  };
  Functions.IncarnationSealed = [this](base::incarnation_id Sealed) {
    if (Identity.replaceIncarnation(Sealed))
      publishSelf();
  };
  Functions.ReportCrash = [this](const poison::crash_report &Report) {
    Crashes.report(Report);
  };
  return Functions;
}

/// Tells the other entries of a change of the identity.
void entry::impl::publishSelf() {
  const std::lock_guard<std::mutex> Lock(Publishing);
  Mesh.setSelf(Identity.current());
}

void entry::impl::updateReadiness() {
  const auto Document = Config.current();
  // A store answer alone may be stale; peers may hold a newer version.
  const bool PeersAsked = Mesh.untriedAddresses() == 0 ||
                          base::boot_clock::now() >= StopWaitingForPeers;
  if (!IsReady && Document && PeersAsked) {
    IsReady = true;
    SKYLARKDYKE_LOG(INFO, EntryReady)
        << Settings.Name.str() << " with version " << Document->Version;
  }
  if (Identity.update(IsReady, Document ? Document->Version : 0))
    publishSelf();
}

void entry::impl::updateSeat() {
  const auto Authority = Seat.authority();
  const std::lock_guard<std::mutex> Lock(Shares.Mutex);
  if (Authority)
    Shares.Ledger.holdSeatUntil(Authority->Until);
  else
    Shares.Ledger.releaseSeat();
}

void entry::impl::updateTargets() {
  const auto Document = Config.current();
  if (Document == Applied)
    return;
  Applied = Document;
  Prober.configure(Document->Targets);
  {
    const std::lock_guard<std::mutex> Lock(Shares.Mutex);
    Shares.Ledger.configure(*Document);
  }
  Seat.start(Document->EntrySeats);
}

void entry::impl::tick() {
  updateTargets();
  updateSeat();
  updateReadiness();
  Callers.refresh();
  std::vector<entries::service_load> Loads;
  for (const callers::service_load &Load : Callers.loads())
    if (Load.Region == Settings.Region)
      Loads.push_back({Load.Service, Load.SlotsInUse,
                       static_cast<std::uint32_t>(Load.Waiting)});
  Mesh.setLoads(std::move(Loads));
}

http::response entry::impl::administer(const http::server_request &Request) {
  http::response Response;
  if (Request.Path != "/metrics" || Request.Message.Method != "GET") {
    Response.Status = 404;
    return Response;
  }
  Response.Headers["Content-Type"] = "text/plain; version=0.0.4";
  std::vector<caps::cap_state> States;
  {
    const std::lock_guard<std::mutex> Lock(Shares.Mutex);
    States = Shares.Ledger.states(base::boot_clock::now());
  }
  Response.Body = Metrics.render(Callers, Store, Mesh, States);
  return Response;
}

bool entry::impl::startServers() {
  return Mesh.start() && CallerServer.start() && AdminServer.start();
}

void entry::impl::drain() {
  Callers.beginLeaving();
  Identity.setLeaving();
  publishSelf();
  const base::boot_time Limit = base::boot_clock::now() + MaxDrainTime;
  while (!Callers.drained() && base::boot_clock::now() < Limit)
    std::this_thread::sleep_for(TickInterval / 4);
}

void entry::impl::releaseSeat() {
  base::boot_time FreeAt;
  {
    const std::lock_guard<std::mutex> Lock(Shares.Mutex);
    Shares.Ledger.releaseSeat();
    FreeAt = Shares.Ledger.seatFreeAt(base::boot_clock::now());
  }
  // Another entry may use the seat as soon as the release is written.
  std::this_thread::sleep_for(FreeAt - base::boot_clock::now());
  Seat.stop();
}

entry::entry(settings::entry_settings Settings)
    : Impl(std::make_unique<impl>(std::move(Settings))) {}

entry::~entry() = default;

bool entry::start() {
  Impl->StopWaitingForPeers = base::boot_clock::now() + PeerWait;
  if (!Impl->startServers())
    return false;
  Impl->Watcher.start();
  Impl->Prober.start();
  Impl->Control.start();
  SKYLARKDYKE_LOG(INFO, EntryStarted)
      << Impl->Settings.Name.str() << " serves callers on "
      << base::toString(Impl->Settings.CallerAddress);
  return true;
}

void entry::stop() {
  SKYLARKDYKE_LOG(INFO, EntryLeaving) << Impl->Settings.Name.str();
  Impl->drain();
  Impl->Control.stop();
  Impl->releaseSeat();
  SKYLARKDYKE_LOG(INFO, EntryStopped) << Impl->Settings.Name.str();
}

} // namespace skylarkdyke::entry
