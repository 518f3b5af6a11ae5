#include "skylarkdyke/entry/entry.hpp"

#include "entry/detail/control_loop.hpp"
#include "entry/detail/identity.hpp"
#include "entry/detail/load_board.hpp"
#include "entry/detail/metrics_page.hpp"
#include "entry/detail/readiness.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/entries/config_exchange.hpp"
#include "skylarkdyke/entries/crash_exchange.hpp"
#include "skylarkdyke/entries/loan_exchange.hpp"
#include "skylarkdyke/entries/witness_service.hpp"
#include "skylarkdyke/instances/instance_poller.hpp"
#include "skylarkdyke/operators/admin_service.hpp"
#include "skylarkdyke/store/config_store.hpp"
#include "skylarkdyke/store/config_watcher.hpp"
#include "skylarkdyke/store/seat_admin.hpp"
#include "skylarkdyke/store/seat_claimer.hpp"
#include "skylarkdyke/targets/prober.hpp"

#include <algorithm>
#include <mutex>
#include <thread>

namespace skylarkdyke::entry {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds TickInterval = 100ms;
/// Time after which an entry stops waiting for its seat and for peers, so that
/// neither a store outage nor a dead peer keeps it from becoming ready.
constexpr std::chrono::seconds SettleTime = 2s;
/// Time after which an entry no longer waits for the newer configuration of a
/// connected peer, which may be one that it cannot read.
constexpr std::chrono::seconds CatchUpTime = 5s;
/// Longest time that a graceful stop waits for lookup answers to expire and for
/// requests in flight.
constexpr std::chrono::seconds MaxDrainTime = 60s;
constexpr std::size_t MaxWitnessRecords = 200'000;
/// Longest time that an operator's page waits for the store.
constexpr std::chrono::seconds StoreLimit = 5s;

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
  bool hasSettled(const config::document &Document) const;
  void updateReadiness();
  void updateSeat();
  void dial(const instances::instance_list &List);
  void updateTargets();
  operators::dependencies operatorDependencies();
  std::vector<caps::cap_state> capStates();
  std::vector<operators::seat_status> seats();
  void installed(const std::shared_ptr<const config::document> &Document);
  bool startServers();
  void drain();
  void releaseSeat();

  settings::entry_settings Settings;
  detail::identity Identity;
  /// Orders the publications of the identity, so that the last one is the
  /// latest state.
  std::mutex Publishing;
  config::document_holder Config;
  store::client Store;
  store::config_store Documents;
  entries::guarded_ledger Shares;
  entries::mesh Mesh;
  entries::config_exchange Configs;
  entries::loan_exchange Lending;
  entries::witness_service Witness;
  detail::metrics_page Metrics;
  detail::load_board Loads;
  entries::crash_exchange Crashes;
  /// Its thread that watches crashed targets reports to Crashes until it ends.
  callers::caller_service Callers;
  store::config_watcher Watcher;
  store::seat_claimer Seat;
  instances::instance_poller Instances;
  targets::prober Prober;
  http::server CallerServer;
  operators::admin_service Admin;
  http::server AdminServer;
  detail::control_loop Control;
  base::boot_time StopWaiting;
  base::boot_time StopCatchingUp;
  std::shared_ptr<const config::document> Applied;
  bool IsReady = false;
};

entry::impl::impl(settings::entry_settings Given)
    : Settings(std::move(Given)), Identity(Settings), Store(Settings.Store),
      Documents(Store), Shares(Identity.current().Incarnation),
      Mesh(meshSettings(Settings, Identity.current())),
      Configs(Mesh, Config,
              [this](const auto &Document) { installed(Document); }),
      Lending(Mesh, Shares), Witness(Mesh, MaxWitnessRecords),
      Crashes(Mesh,
              [this](const poison::crash_report &Report) {
                Callers.addCrash(Report);
              }),
      Callers(Settings, callerDependencies(),
              [this](const base::service_name &Service,
                     std::chrono::nanoseconds Latency, once::outcome Outcome) {
                Metrics.observe(Service, Latency, Outcome);
                Loads.countRequest(Service);
              }),
      Watcher(Store, Config,
              [this](const auto &Document) { installed(Document); }),
      Seat(Store, {}, Identity.current().Incarnation, Settings.Name),
      Instances(Settings.Platform,
                [this](const instances::instance_list &List) { dial(List); }),
      Prober([this](const targets::probe_result &Result) {
        Callers.reportProbe(Result);
        Loads.setTarget(Result);
      }),
      CallerServer(Settings.CallerListen, http::server_limits(),
                   [this](const http::server_request &Request) {
                     return Callers.handle(Request);
                   }),
      Admin(operatorDependencies(), Settings.Operators),
      AdminServer(Settings.AdminAddress, operators::adminServerLimits(),
                  [this](const http::server_request &Request) {
                    return Admin.handle(Request);
                  }),
      Control(TickInterval, [this] { tick(); }) {
  Mesh.onMessage<entries::heartbeat>(
      [this](const entries::member &From, const entries::heartbeat &Heartbeat) {
        Loads.setPeer(From, Heartbeat.Loads, base::boot_clock::now());
      });
}

entry::impl::~impl() {
  Control.stop();
  CallerServer.stop();
  AdminServer.stop();
  Prober.stop();
  Instances.stop();
  Watcher.stop();
  Mesh.stop();
}

void entry::impl::installed(
    const std::shared_ptr<const config::document> &Document) {
  // A later conflict can then name the fields that changed since.
  Documents.cacheVersion(Document);
  Control.wake();
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
  Functions.RefundCap = [this](const caps::demand &Demand,
                               base::boot_time TakenAt) {
    const std::lock_guard<std::mutex> Lock(Shares.Mutex);
    Shares.Ledger.refund(Demand, TakenAt, base::boot_clock::now());
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

/// Whether everything that an entry waits for before it serves callers is
/// there, or has had its time.
bool entry::impl::hasSettled(const config::document &Document) const {
  const auto Now = base::boot_clock::now();
  const auto Members = Mesh.members();
  // The store's answer may be stale.
  if (Now < StopCatchingUp && detail::isBehindPeers(Members, Document.Version))
    return false;
  if (Now >= StopWaiting)
    return true;
  // Without a share of the caps the first requests would be refused.
  if (!Seat.authority())
    return false;
  // A member that is not connected yet may have a newer version, and its keys
  // would be taken for those of an entry that is gone.
  const auto Reachable =
      std::count_if(Members.begin(), Members.end(),
                    [](const auto &Each) { return Each.Reachable; });
  const auto Others =
      std::count_if(Settings.Seeds.begin(), Settings.Seeds.end(),
                    [this](const base::endpoint &Seed) {
                      return !(Seed == Settings.PeerAddress);
                    });
  return Reachable >= Others;
}

/// Tells the other entries of a change of the identity.
void entry::impl::publishSelf() {
  const std::lock_guard<std::mutex> Lock(Publishing);
  Mesh.setSelf(Identity.current());
}

void entry::impl::updateReadiness() {
  const auto Document = Config.current();
  if (!IsReady && Document && hasSettled(*Document)) {
    IsReady = true;
    SKYLARKDYKE_LOG(INFO, EntryReady)
        << Settings.Name.str() << " with version " << Document->Version;
  }
  if (Identity.update(IsReady, Document ? Document->Version : 0))
    publishSelf();
}

/// The platform lists instances by their peer address. The list lags, so it
/// only tells whom to dial; the mesh decides who is reachable.
void entry::impl::dial(const instances::instance_list &List) {
  std::vector<base::endpoint> Addresses;
  for (const instances::instance &Instance : List.Instances)
    if (!Instance.IsLeaving)
      Addresses.push_back(Instance.Address);
  Mesh.addAddresses(Addresses);
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
  Mesh.setLoads(Loads.ownLoads(Callers.loads(), Settings.Region,
                               base::boot_clock::now()));
}

std::vector<caps::cap_state> entry::impl::capStates() {
  const std::lock_guard<std::mutex> Lock(Shares.Mutex);
  return Shares.Ledger.states(base::boot_clock::now());
}

std::vector<operators::seat_status> entry::impl::seats() {
  std::vector<operators::seat_status> Result;
  const auto Document = Config.current();
  const base::boot_time Deadline = base::boot_clock::now() + StoreLimit;
  for (unsigned Index = 0; Document && Index < Document->EntrySeats; ++Index)
    Result.push_back({Index, store::readSeat(Store, Index, Deadline)});
  return Result;
}

operators::dependencies entry::impl::operatorDependencies() {
  operators::dependencies Functions;
  Functions.Document = [this] { return Config.current(); };
  Functions.Submit = [this](const config::document &Change,
                            std::uint64_t ExpectedVersion,
                            const base::operator_name &Operator) {
    return Documents.submit(Change, ExpectedVersion, Operator,
                            base::boot_clock::now() + StoreLimit);
  };
  Functions.StoreDownSince = [this] { return Watcher.downSince(); };
  Functions.Members = [this] {
    std::vector<entries::member> All = Mesh.members();
    All.insert(All.begin(), Identity.current());
    return All;
  };
  Functions.Loads = [this] {
    return Loads.all(Settings.Region, base::boot_clock::now());
  };
  Functions.CapStates = [this] { return capStates(); };
  Functions.SlotsInUse = [this] { return Loads.slotsInUse(); };
  Functions.Metrics = [this] {
    return Metrics.render(Callers, Store, Mesh, capStates());
  };
  Functions.Blocked = [this] { return Callers.blockedRequests(); };
  Functions.Release = [this](std::uint64_t Fingerprint) {
    return Callers.releaseBlocked(Fingerprint);
  };
  Functions.Seats = [this] { return seats(); };
  Functions.ConfirmDestroyed = [this](unsigned Index,
                                      base::incarnation_id Holder,
                                      const base::operator_name &Operator) {
    return store::confirmDestroyed(Store, Index, Holder, Operator,
                                   base::boot_clock::now() + StoreLimit);
  };
  Functions.WallNow = [] { return std::chrono::system_clock::now(); };
  Functions.BootNow = [] { return base::boot_clock::now(); };
  return Functions;
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
  Impl->StopWaiting = base::boot_clock::now() + SettleTime;
  Impl->StopCatchingUp = base::boot_clock::now() + CatchUpTime;
  if (!Impl->startServers())
    return false;
  Impl->Watcher.start();
  Impl->Instances.start();
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
