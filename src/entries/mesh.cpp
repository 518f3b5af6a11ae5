#include "skylarkdyke/entries/mesh.hpp"

#include "entries/detail/mesh_impl.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/entries/codec.hpp"

namespace skylarkdyke::entries {

using namespace std::chrono_literals;

/// Resolution of all timers of the mesh.
static constexpr auto TickPeriod = 50ms;
/// If the time between two ticks is longer than this, the process was paused.
static constexpr auto PauseThreshold = 500ms;
static constexpr auto DefaultDetectorTimeout = 1000ms;
/// Time for sending close frames in stop().
static constexpr auto StopGracePeriod = 50ms;
static constexpr std::size_t MaxPendingRequests = 4096;
static constexpr std::size_t MaxRetired = 1024;
/// Maximum number of bytes of messages that other threads have posted and that
/// are not yet in the buffer of a connection.
static constexpr std::size_t MaxPostedBytes = 16'000'000;

mesh::impl::impl(mesh_settings InitialSettings,
                 std::unique_ptr<failure_detector> CustomDetector)
    : Settings(std::move(InitialSettings)), Self(Settings.Self),
      Requests(MaxPendingRequests),
      Detector(CustomDetector ? std::move(CustomDetector)
                              : makeTimeoutDetector(DefaultDetectorTimeout)),
      Addresses({Settings.MaxAddresses, Settings.InitialBackoff,
                 Settings.MaxBackoff, Settings.ForgetAfter}),
      Retired(MaxRetired) {}

bool mesh::impl::start() {
  setHandlers();
  if (!listen())
    return false;
  const auto Now = base::boot_clock::now();
  for (const base::endpoint &Seed : Settings.Seeds)
    if (!(Seed == Settings.Self.PeerAddress))
      Addresses.addSeed(Seed, Now);
  UntriedCount = Addresses.untriedCount();
  LastTick = Now;
  NextHeartbeat = Now;
  Running = true;
  scheduleTick();
  Thread = std::thread([this] { run(); });
  SKYLARKDYKE_LOG(INFO, MeshStarted)
      << base::toString(Settings.Self.Incarnation) << " at "
      << base::toString(Settings.Self.PeerAddress);
  return true;
}

void mesh::impl::run() {
  for (;;) {
    try {
      Context.run();
      return;
    } catch (const std::exception &Error) {
      logHandlerFault(Error);
    }
  }
}

void mesh::impl::logHandlerFault(const std::exception &Error) {
  SKYLARKDYKE_LOG(ERROR, MeshHandlerFailed) << Error.what();
}

void mesh::impl::stop() {
  if (!Running.exchange(false))
    return;
  Requests.close();
  boost::asio::post(Context, [this] {
    websocketpp::lib::error_code Ignored;
    Server.stop_listening(Ignored);
    std::vector<websocket_ptr> Sockets;
    for (const auto &[Key, Connection] : Connections)
      Sockets.push_back(Connection.Socket);
    for (const websocket_ptr &Socket : Sockets)
      Socket->close(websocketpp::close::status::going_away, "", Ignored);
    Timer.expires_after(StopGracePeriod);
    Timer.async_wait([this](auto) {
      std::vector<websocket_ptr> OpenSockets;
      for (const auto &[Key, Connection] : Connections)
        OpenSockets.push_back(Connection.Socket);
      for (const websocket_ptr &Socket : OpenSockets)
        drop(Connections.at(Socket.get()));
      Context.stop();
    });
  });
  Thread.join();
  SKYLARKDYKE_LOG(INFO, MeshStopped)
      << base::toString(Settings.Self.PeerAddress);
}

void mesh::impl::scheduleTick() {
  Timer.expires_after(TickPeriod);
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error || !Running)
      return;
    scheduleTick();
    onTick();
  });
}

void mesh::impl::onTick() {
  const auto Now = base::boot_clock::now();
  // After a pause of this process, heartbeats of the peers are still in the
  // socket buffers. The reachability of peers is not updated until these
  // heartbeats have been read.
  const bool WasPaused = Now - LastTick > PauseThreshold;
  LastTick = Now;
  closeExpired(Now, WasPaused);
  if (!WasPaused)
    updateReachability(Now);
  forgetExpired(Now);
  dialDueAddresses(Now);
  if (Now >= NextHeartbeat) {
    sendHeartbeats();
    NextHeartbeat = std::max(NextHeartbeat + Settings.HeartbeatPeriod, Now);
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    UntriedCount = Addresses.untriedCount();
  }
  runPeriodic(Now);
}

void mesh::impl::runPeriodic(base::boot_time Now) {
  for (periodic_task &Task : PeriodicTasks) {
    if (Now < Task.NextRun)
      continue;
    Task.NextRun = std::max(Task.NextRun + Task.Period, Now);
    runGuarded(Task.Function);
  }
}

bool mesh::impl::post(std::size_t Bytes, std::function<void()> Function) {
  if (!Running || PostedBytes.fetch_add(Bytes) + Bytes > MaxPostedBytes) {
    if (Running)
      PostedBytes -= Bytes;
    return false;
  }
  boost::asio::post(Context, [this, Bytes, Run = std::move(Function)] {
    PostedBytes -= Bytes;
    Run();
  });
  return true;
}

mesh::mesh(mesh_settings Settings, std::unique_ptr<failure_detector> Detector)
    : Impl(std::make_unique<impl>(std::move(Settings), std::move(Detector))) {}

mesh::~mesh() { stop(); }

bool mesh::start() { return Impl->start(); }

void mesh::stop() { Impl->stop(); }

void mesh::addHandler(std::size_t Type, handler<message> Handler) {
  Impl->Handlers.at(Type).push_back(std::move(Handler));
}

void mesh::onMemberChange(member_handler Handler) {
  Impl->MemberHandlers.push_back(std::move(Handler));
}

void mesh::runPeriodically(std::chrono::milliseconds Period,
                           std::function<void()> Function) {
  Impl->PeriodicTasks.push_back(
      {Period, std::move(Function), base::boot_time()});
}

void mesh::setSelf(const member &Self) {
  updateSelf([&](member &Current) { Current = Self; });
}

void mesh::updateSelf(const std::function<void(member &)> &Change) {
  base::incarnation_id Old;
  base::incarnation_id New;
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Old = Impl->Self.Incarnation;
    Change(Impl->Self);
    New = Impl->Self.Incarnation;
  }
  Impl->post(0, [this, Old, New] {
    if (Old != New)
      Impl->Retired.push_back(Old);
    Impl->sendHellos();
  });
}

member mesh::self() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Self;
}

void mesh::setSeat(std::optional<std::uint32_t> Seat) {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Seat = Seat;
  }
  Impl->post(0, [this] { Impl->sendHellos(); });
}

void mesh::setLoads(std::vector<service_load> Loads) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->Loads = std::move(Loads);
}

void mesh::addAddresses(const std::vector<base::endpoint> &Addresses) {
  Impl->post(0, [this, Addresses] {
    const auto Now = base::boot_clock::now();
    for (const base::endpoint &Address : Addresses)
      if (!(Address == Impl->Settings.Self.PeerAddress) &&
          !Impl->Addresses.addOrRefresh(Address, Now))
        Impl->countDropped();
  });
}

bool mesh::send(base::incarnation_id To, const message &Message) {
  std::string Bytes = encode(Message);
  const std::size_t Size = Bytes.size();
  if (Size <= MaxMessageBytes &&
      Impl->post(
          Size, [this, To, Type = Message.index(), Encoded = std::move(Bytes)] {
            if (!Impl->sendTo(To, Type, Encoded))
              Impl->countDropped();
          }))
    return true;
  Impl->countDropped();
  return false;
}

void mesh::broadcast(const message &Message) {
  std::string Bytes = encode(Message);
  const std::size_t Size = Bytes.size();
  if (Size > MaxMessageBytes || !Impl->post(Size, [this, Type = Message.index(),
                                                   Encoded = std::move(Bytes)] {
        std::vector<base::incarnation_id> Receivers;
        for (const auto &[Incarnation, Known] : Impl->Members)
          if (Known.Connection != nullptr)
            Receivers.push_back(Incarnation);
        for (const base::incarnation_id To : Receivers)
          if (!Impl->sendTo(To, Type, Encoded))
            Impl->countDropped();
      }))
    Impl->countDropped();
}

std::optional<reply_message> mesh::request(base::incarnation_id To,
                                           request_message Request,
                                           base::boot_time Deadline) {
  const auto Id = Impl->Requests.begin(To);
  if (!Id)
    return std::nullopt;
  const message Message = std::visit(
      [&](auto &Content) -> message {
        Content.RequestId = *Id;
        return Content;
      },
      Request);
  std::string Bytes = encode(Message);
  const std::size_t Size = Bytes.size();
  const bool Posted = Impl->post(
      Size, [this, To, Id, Type = Message.index(), Encoded = std::move(Bytes)] {
        if (Impl->sendTo(To, Type, Encoded))
          return;
        Impl->countDropped();
        Impl->Requests.fail(*Id);
      });
  if (!Posted)
    Impl->Requests.fail(*Id);
  return Impl->Requests.wait(*Id, Deadline);
}

std::vector<member> mesh::members() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->MemberSnapshot;
}

std::size_t mesh::untriedAddresses() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->UntriedCount;
}

mesh_counters mesh::counters() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Counters;
}

} // namespace skylarkdyke::entries
