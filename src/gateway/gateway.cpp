#include "skylarkdyke/gateway/gateway.hpp"

#include "gateway/detail/channel_pool.hpp"
#include "gateway/detail/cold_watch.hpp"
#include "gateway/detail/demand_history.hpp"
#include "gateway/detail/directory_service.hpp"
#include "gateway/detail/exchange.hpp"
#include "gateway/detail/gauges.hpp"
#include "gateway/detail/loop_lateness.hpp"
#include "gateway/detail/mesh_link.hpp"
#include "gateway/detail/quota_service.hpp"
#include "gateway/detail/rate_holders.hpp"
#include "gateway/detail/request_rejection.hpp"
#include "gateway/detail/steering_state.hpp"
#include "gateway/detail/watch_delay.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/membership/member_table.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <unistd.h>
#include <utility>

namespace skylarkdyke::gateway {

namespace bhttp = boost::beast::http;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Period of the maintenance task, which sends heartbeats, removes expired
/// targets and connections, and updates the share of this entry in the request
/// rates of cold targets.
static constexpr milliseconds TickPeriod{250};
/// The same period until the entry is ready.
static constexpr milliseconds StartTickPeriod{50};
/// Requests per second that one processor core can handle.
static constexpr double RequestsPerCore = 1000;
/// Requests per second that each Mbit/s of link bandwidth can carry, counting
/// both directions to the caller and the target.
static constexpr double RequestsPerMbit = 20;
/// File descriptors reserved for connections to targets, the store, other
/// entries and the control servers, and for files.
static constexpr std::size_t ReservedDescriptors = 1600;
/// Maximum number of connections to each of the control servers, which are the
/// readiness, directory and metrics servers, and the part of all descriptors
/// that each of them may use.
static constexpr std::size_t MaxControlConnections = 400;
static constexpr std::size_t ControlDescriptorsDivisor = 16;
/// Parts of the memory of the process that may be held for callers, and for the
/// clients of the control servers.
static constexpr std::size_t CallerMemoryDivisor = 2;
static constexpr std::size_t ControlMemoryDivisor = 32;
/// Period in which the entry logs how many objects have changed their target.
static constexpr milliseconds MovesLogPeriod{10000};
/// What a connection of a caller reads before earlier requests have their
/// responses; some callers send several requests at once.
static constexpr net::read_ahead_limits CallerReadAhead{8, 65536};
/// Period in which a stopping entry checks whether all responses were sent.
static constexpr milliseconds StopCheckPeriod{50};
/// Time after the start during which the demand of the other entries may be
/// incomplete.
static constexpr milliseconds DemandWarmUpTime{2000};
/// Lateness of the maintenance task from which the process counts as having
/// been paused: other entries may seem to be dead because it has read nothing.
static constexpr milliseconds MinPause{700};
/// An entry that starts waits for the state of another entry before it reads
/// the store, so that the calls of many entries that start at the same time do
/// not exceed the limits of the store. The wait is a random value between these
/// two. Seeds do not wait.
static constexpr milliseconds MinStartWait{1000};
static constexpr milliseconds MaxStartWait{4000};
/// Time after the start within which an entry with a state does not watch the
/// store yet: it may not know all entries, and so not know the relays.
static constexpr milliseconds RelayDiscoveryTime{3000};

struct gateway::impl {
  impl(boost::asio::io_context &Loop, net::response_memory &Memory,
       gateway_settings InitialSettings, caller_protocol Protocol,
       change_source &Source, configuration_decoder Decoder);

  bool start();
  void stop(base::boot_time RequestedAt);
  void tick();
  void updateShares(base::boot_time Now);
  void logMoves(base::boot_time Now);
  bool shouldWatchStore(base::boot_time Now) const;
  std::vector<detail::cold_watch::checker>
  liveCheckers(base::boot_time Now) const;
  bool isReady() const { return State.isComplete() && !Stopping; }
  membership::entry_status ownStatus();
  void onReadinessRequest(const std::shared_ptr<net::pending_request> &Request);
  void onDirectoryRequest(const std::shared_ptr<net::pending_request> &Request);
  void onMetricsRequest(const std::shared_ptr<net::pending_request> &Request);
  std::size_t maxCallerConnections() const;
  std::size_t maxControlConnections() const;
  void continueStop();

  boost::asio::io_context &Loop;
  gateway_settings Settings;
  caller_protocol Protocol;
  change_source &Source;
  std::uint64_t Incarnation = base::generateIncarnation().Value;
  placement::target_registry TargetRegistry;
  placement::placer Placer;
  admission::retry_allowance Retries;
  metrics::registry Metrics;
  telemetry::decision_log Log;
  detail::steering_state State;
  detail::channel_pool Pool;
  detail::crash_guard Crashes;
  membership::member_table Members;
  detail::quota_service Quotas;
  detail::steering_context Context;
  detail::demand_history History;
  detail::directory_service Directory;
  detail::mesh_link Mesh;
  detail::cold_watch ColdWatch;
  std::shared_ptr<net::memory_account> CallerMemory;
  std::shared_ptr<net::memory_account> ControlMemory;
  net::http_server FrontServer;
  net::http_server ReadinessServer;
  net::http_server DirectoryServer;
  net::http_server MetricsServer;
  net::one_shot_timer Timer;
  net::one_shot_timer StopTimer;
  bool Stopping = false;
  bool AcceptStopped = false;
  bool LastResponsesGiven = false;
  bool ReadyLogged = false;
  detail::loop_lateness Lateness;
  base::boot_time NextTickAt{};
  base::boot_time NextMovesLogAt{};
  std::uint64_t LoggedMoves = 0;
  /// After a pause of the process, time until which the heartbeats that the
  /// others have sent meanwhile may not have been read.
  base::boot_time HeartbeatsMissedUntil{};
  base::boot_time StartedAt = base::boot_clock::now();
  base::boot_time StopRequestedAt{};
  base::boot_time StartWaitUntil{};
  bool IsSeed = false;
  bool Watching = false;
  base::store_version SkippedTo;
};

static base::message_limits controlLimits() { return base::message_limits(); }

gateway::impl::impl(boost::asio::io_context &Loop, net::response_memory &Memory,
                    gateway_settings InitialSettings,
                    caller_protocol InitialProtocol, change_source &Source,
                    configuration_decoder Decoder)
    : Loop(Loop), Settings(std::move(InitialSettings)),
      Protocol(std::move(InitialProtocol)), Source(Source),
      TargetRegistry(Settings.RegionOf),
      Placer(TargetRegistry, Settings.Region), Retries(Settings.RetryBound),
      Log(STDOUT_FILENO, Settings.Name),
      State(TargetRegistry, std::move(Decoder), Settings.RecordRecoveryTime,
            [] { return base::boot_clock::now(); }),
      Pool(Loop, Memory), Crashes(Loop, Metrics, Log, Incarnation),
      Members(Settings.Mesh, Settings.Region, Settings.RegionOf),
      Quotas(Loop, Members, Metrics,
             {Settings.Mesh, Settings.Region, Settings.RegionOf,
              Settings.QuotaBound},
             static_cast<std::uint32_t>(Incarnation)),
      Context{Loop,
              Memory,
              Protocol.Headers,
              State,
              TargetRegistry,
              Placer,
              Pool,
              Retries,
              Metrics,
              Log,
              Crashes,
              Quotas,
              {},
              {},
              1,
              std::numeric_limits<unsigned>::max(),
              {}},
      Directory(Settings, Protocol, State, TargetRegistry, Placer, History,
                Members, [this] { return ownStatus(); }),
      Mesh(
          Loop, Memory, State, Members, Settings.Mesh,
          Settings.LinkMbitPerSecond, [this] { return ownStatus(); },
          [this] { updateShares(base::boot_clock::now()); }),
      ColdWatch(this->Protocol.Headers, State, TargetRegistry, Pool, Metrics,
                Log, {Settings.Mesh, Settings.Region}),
      CallerMemory(std::make_shared<net::memory_account>(Settings.MemoryBytes /
                                                         CallerMemoryDivisor)),
      ControlMemory(std::make_shared<net::memory_account>(
          Settings.MemoryBytes / ControlMemoryDivisor)),
      FrontServer(
          Loop, maxCallerConnections(),
          [this] { return detail::limitsInForce(State); },
          [this](std::shared_ptr<net::pending_request> Request) {
            detail::exchange::start(Context, std::move(Request));
          }),
      ReadinessServer(
          Loop, maxControlConnections(), controlLimits,
          [this](const std::shared_ptr<net::pending_request> &Request) {
            onReadinessRequest(Request);
          }),
      DirectoryServer(
          Loop, maxControlConnections(), controlLimits,
          [this](const std::shared_ptr<net::pending_request> &Request) {
            onDirectoryRequest(Request);
          }),
      MetricsServer(
          Loop, maxControlConnections(), controlLimits,
          [this](const std::shared_ptr<net::pending_request> &Request) {
            onMetricsRequest(Request);
          }),
      Timer(Loop), StopTimer(Loop) {}

std::size_t gateway::impl::maxCallerConnections() const {
  return Settings.MaxDescriptors > 2 * ReservedDescriptors
             ? Settings.MaxDescriptors - ReservedDescriptors
             : Settings.MaxDescriptors / 2;
}

std::size_t gateway::impl::maxControlConnections() const {
  return std::min(MaxControlConnections,
                  Settings.MaxDescriptors / ControlDescriptorsDivisor);
}

bool gateway::impl::start() {
  const auto Now = base::boot_clock::now();
  State.setMaxAge(Settings.ConfigurationBound);
  FrontServer.setUnreadableHandler(
      [this](const net::unreadable_request &Request) {
        return detail::respondToUnreadable(Request, State, Protocol.Headers,
                                           Log, base::boot_clock::now());
      });
  FrontServer.setReadAhead(CallerReadAhead);
  FrontServer.setMemory(CallerMemory);
  for (net::http_server *Server :
       {&ReadinessServer, &DirectoryServer, &MetricsServer})
    Server->setMemory(ControlMemory);
  Context.DrainTime = Settings.DrainTime;
  State.setEntryCallback([this](const base::endpoint &Mesh) {
    Members.addAddress(Mesh, base::boot_clock::now());
  });
  State.setCrashSink(Crashes);
  Crashes.setPublisher(
      [this](const detail::crash_update &Update, bool PassedOn) {
        Mesh.publishCrashes(Update, PassedOn);
      });
  Crashes.setBlockStore(
      {[this](const routing::request_blocked &Block) {
         Source.storeBlock(Block);
       },
       [this](std::uint64_t Fingerprint) { Source.removeBlock(Fingerprint); }});
  Quotas.setSender(
      [this](const base::endpoint &To, const std::string &Message) {
        Mesh.send(To, Message);
      });
  Mesh.setTokenHandlers(
      [this](const quotas::token_request &Request) {
        Quotas.onRequest(Request);
      },
      [this](const quotas::token_grant &Grant) { Quotas.onGrant(Grant); });
  for (const base::endpoint &Seed : Settings.Seeds)
    Members.addAddress(Seed, Now);
  if (!Mesh.start() || !FrontServer.listen(Settings.Front))
    return false;
  if (Settings.Readiness && !ReadinessServer.listen(*Settings.Readiness))
    return false;
  if (Settings.Directory && !DirectoryServer.listen(*Settings.Directory))
    return false;
  if (Settings.Metrics && !MetricsServer.listen(*Settings.Metrics))
    return false;
  SKYLARKDYKE_DECISION(Log, EntryStarted, Now,
                       {{"incarnation", static_cast<std::int64_t>(Incarnation)},
                        {"front", base::toString(Settings.Front)}});
  IsSeed = std::find(Settings.Seeds.begin(), Settings.Seeds.end(),
                     Settings.Mesh) != Settings.Seeds.end();
  const auto WaitRange = (MaxStartWait - MinStartWait).count();
  StartWaitUntil =
      Now + MinStartWait +
      milliseconds(Incarnation % static_cast<std::uint64_t>(WaitRange));
  Source.start(State, Settings.Name, Settings.Mesh);
  tick();
  return true;
}

membership::entry_status gateway::impl::ownStatus() {
  const auto Now = base::boot_clock::now();
  membership::entry_status Status;
  Status.Name = Settings.Name;
  Status.Incarnation = Incarnation;
  Status.Domain = Settings.Domain;
  Status.MeshAddress = Settings.Mesh;
  Status.FrontAddress = Settings.Front;
  Status.Ready = isReady();
  Status.Leaving = Stopping;
  Status.StoreReachable = !Watching || !State.isStoreDown();
  Status.StateFromListing = State.needsPeerState();
  Status.ChangeVersion = State.changeVersion();
  Status.ConfigurationVersion = State.version();
  Status.StateAge = State.reportedAge(Now);
  Status.Capacity = Lateness.usableFraction() *
                    std::min(RequestsPerCore * Settings.ProcessorCores,
                             RequestsPerMbit * Settings.LinkMbitPerSecond);
  Status.Demand = Context.Demand.rates(Now);
  Members.addReport(Status, Now);
  return Status;
}

/// Adds up the demand of all live entries by service and region, and updates
/// the share of this entry in the limits that apply to all entries together.
void gateway::impl::updateShares(base::boot_time Now) {
  std::map<std::string, std::map<base::region_name, double>> Demand;
  const auto OwnDemand = Context.Demand.rates(Now);
  std::set<base::region_name> Regions{Settings.Region};
  for (const auto &[Domain, Region] : Settings.RegionOf)
    Regions.insert(Region);
  const bool MessagesMissed = Now < HeartbeatsMissedUntil;
  Members.updateShares(MessagesMissed, Now);
  placement::rate_division Division =
      detail::rateDivisionOf(Members.limitDivision(Now), Settings.Mesh);
  const unsigned PreviousEntryCount = Context.EntryCount;
  Context.EntryCount = 0;
  for (const base::region_name &Region : Regions) {
    const unsigned EntryCount = Members.holderCountOf(Region, Now);
    Context.EntryCount += EntryCount;
    if (EntryCount > 0)
      Division.RegionsWithEntries.insert(Region);
    for (const auto &[Service, Rate] : Members.demandOf(Region, OwnDemand, Now))
      Demand[Service][Region] = Rate;
  }
  // Right after the start, heartbeats of other regions may still be missing.
  const bool HasEqualPart = Members.shareHolders().hasEqualPart(Now);
  Division.UsesOtherRegions = HasEqualPart;
  if (MessagesMissed) {
    Context.EntryCount = std::max(Context.EntryCount, PreviousEntryCount);
    Division =
        placement::limitToPrevious(std::move(Division), Placer.rateDivision());
  }
  Context.RetrySlackEntries =
      HasEqualPart ? Context.EntryCount : std::numeric_limits<unsigned>::max();
  Placer.setRateDivision(std::move(Division));
  for (auto &[Service, ByRegion] : Demand) {
    double Total = 0;
    for (const auto &[Region, Rate] : ByRegion)
      Total += Rate;
    History.recordRate(Service, Total, Now);
    Placer.setDemand(base::service_name(Service), std::move(ByRegion));
  }
}

void gateway::impl::tick() {
  const auto Now = base::boot_clock::now();
  if (NextTickAt != base::boot_time{}) {
    Lateness.record(Now - NextTickAt);
    if (Now - NextTickAt > MinPause)
      HeartbeatsMissedUntil = Now + DemandWarmUpTime;
  }
  if (!ReadyLogged && isReady()) {
    ReadyLogged = true;
    SKYLARKDYKE_DECISION(
        Log, EntryReady, Now,
        {{"config_version",
          static_cast<std::int64_t>(State.routes()->version())},
         {"targets", static_cast<std::int64_t>(TargetRegistry.size())}});
    Mesh.broadcastHeartbeat(Now);
  }
  const auto WatchDelay = detail::watchDelay(Context.EntryCount);
  Source.setBatchDelay(WatchDelay);
  Mesh.setWatchDelay(WatchDelay);
  State.applyHeld();
  Mesh.tick(Now);
  if (State.confirmedVersion() > SkippedTo) {
    SkippedTo = State.confirmedVersion();
    Source.skipTo(SkippedTo);
  }
  Watching = shouldWatchStore(Now);
  Source.setWatching(Watching);
  TargetRegistry.sweep(Now);
  Pool.sweep(Now);
  Crashes.tick(Members.isRelay(), Now);
  ColdWatch.tick(liveCheckers(Now), Now);
  updateShares(Now);
  Quotas.tick(State.routes(), Now);
  logMoves(Now);
  Log.flush();
  NextTickAt = base::boot_clock::now() +
               (isReady() || Stopping ? TickPeriod : StartTickPeriod);
  Timer.set(NextTickAt, [this] { tick(); });
}

void gateway::impl::logMoves(base::boot_time Now) {
  const placement::move_counter &Moves = Placer.moves();
  if (Now < NextMovesLogAt || Moves.total() == LoggedMoves)
    return;
  NextMovesLogAt = Now + MovesLogPeriod;
  LoggedMoves = Moves.total();
  const auto Count = [&Moves](placement::move_cause Cause) {
    return static_cast<std::int64_t>(Moves.count(Cause));
  };
  SKYLARKDYKE_DECISION(
      Log, ObjectsMoved, Now,
      {{"target_gone", Count(placement::move_cause::TargetGone)},
       {"target_joined", Count(placement::move_cause::TargetJoined)},
       {"region_shares", Count(placement::move_cause::RegionShares)},
       {"load", Count(placement::move_cause::Load)}});
}

/// Returns the other entries that may check targets.
std::vector<detail::cold_watch::checker>
gateway::impl::liveCheckers(base::boot_time Now) const {
  std::vector<detail::cold_watch::checker> Checkers;
  for (const auto *Member : Members.liveMembers(Now))
    if (Member->Status.Ready)
      Checkers.push_back({Member->Status.MeshAddress, Member->Region});
  return Checkers;
}

/// Relays watch the store for all entries. One whose calls fail goes on until
/// the store answers, so that it can tell the others that it reaches the store
/// again.
bool gateway::impl::shouldWatchStore(base::boot_time Now) const {
  if (Watching && State.isStoreDown())
    return true;
  if (!State.isComplete())
    return IsSeed || Watching || Now >= StartWaitUntil;
  if (!IsSeed && !Watching && Now - StartedAt < RelayDiscoveryTime)
    return false;
  return Members.isRelay();
}

void gateway::impl::onReadinessRequest(
    const std::shared_ptr<net::pending_request> &Request) {
  if (Request->request().target() != Protocol.ReadinessPath)
    return Request->answer(net::makeResponse(404));
  Request->answer(net::makeResponse(isReady() ? 200 : 503));
}

void gateway::impl::onDirectoryRequest(
    const std::shared_ptr<net::pending_request> &Request) {
  const auto DirectoryQuery =
      Protocol.ParseDirectoryQuery(std::string(Request->request().target()));
  Request->answer(DirectoryQuery ? Directory.respond(*DirectoryQuery,
                                                     base::boot_clock::now())
                                 : net::makeResponse(404));
}

void gateway::impl::onMetricsRequest(
    const std::shared_ptr<net::pending_request> &Request) {
  if (Request->request().target() != Protocol.MetricsPath)
    return Request->answer(net::makeResponse(404));
  const auto Now = base::boot_clock::now();
  detail::updateGauges(
      Metrics,
      {TargetRegistry, Placer, State, Source.callCounts(),
       static_cast<unsigned>(Members.liveMembers(Now).size() + 1)},
      Now);
  detail::updateMemoryGauges(Metrics, *CallerMemory,
                             FrontServer.replacedConnections());
  Request->answer(net::makeResponse(200, Metrics.render()));
}

void gateway::impl::stop(base::boot_time RequestedAt) {
  if (Stopping)
    return;
  Stopping = true;
  const auto Now = base::boot_clock::now();
  SKYLARKDYKE_DECISION(
      Log, EntryLeaving, Now,
      {{"running", static_cast<std::int64_t>(Context.Running->size())},
       {"signal_age_ms", std::chrono::nanoseconds(Now - RequestedAt)}});
  StopRequestedAt = RequestedAt;
  Directory.clearCache();
  Mesh.broadcastHeartbeat(Now);
  FrontServer.drain();
  Context.Stop = detail::scheduleStop(RequestedAt, Settings.StopGrace);
  continueStop();
}

void gateway::impl::continueStop() {
  const auto Now = base::boot_clock::now();
  // Requests that had arrived by then are read in the next turns of the loop.
  const bool AcceptStoppedEarlier = AcceptStopped;
  if (!AcceptStopped && Now >= Context.Stop->StopAcceptingAt) {
    AcceptStopped = true;
    FrontServer.stopAccepting();
  }
  // The loop may be late; the responses need one more turn of it.
  const bool RespondedEarlier = std::exchange(
      LastResponsesGiven, LastResponsesGiven || Now >= Context.Stop->RespondBy);
  if (LastResponsesGiven)
    detail::exchange::endAllForStop(Context);
  const bool Drained = AcceptStoppedEarlier && Context.Running->empty() &&
                       FrontServer.activeRequests() == 0;
  if (Drained || (RespondedEarlier && Now >= Context.Stop->ExitBy)) {
    SKYLARKDYKE_DECISION(
        Log, EntryStopped, Now,
        {{"running", static_cast<std::int64_t>(Context.Running->size())},
         {"connections_in_use",
          static_cast<std::int64_t>(FrontServer.activeRequests())},
         {"signal_age_ms", std::chrono::nanoseconds(Now - StopRequestedAt)}});
    Log.flush();
    Source.stop();
    Loop.stop();
    return;
  }
  StopTimer.set(Now + StopCheckPeriod, [this] { continueStop(); });
}

gateway::gateway(boost::asio::io_context &Loop, net::response_memory &Memory,
                 gateway_settings Settings, caller_protocol Protocol,
                 change_source &Source, configuration_decoder Decoder)
    : Impl(std::make_unique<impl>(Loop, Memory, std::move(Settings),
                                  std::move(Protocol), Source,
                                  std::move(Decoder))) {}
gateway::~gateway() = default;
bool gateway::start() { return Impl->start(); }
void gateway::stop(base::boot_time RequestedAt) { Impl->stop(RequestedAt); }

} // namespace skylarkdyke::gateway
