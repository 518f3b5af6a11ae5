#include "gateway/detail/mesh_link.hpp"

#include "skylarkdyke/base/event.hpp"

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Time, in addition to the watch delay, for which another entry must have a
/// newer state before this entry fetches it. By then the same changes have
/// usually arrived from the store, which takes about one round trip.
static constexpr milliseconds FetchDelay{150};
static constexpr milliseconds FetchTimeout{1500};
static constexpr milliseconds FetchConnectTimeout{500};
static constexpr std::size_t MaxMeshConnections = 64;
static const std::string SnapshotPath = "/snapshot";

mesh_link::mesh_link(boost::asio::io_context &Loop,
                     net::response_memory &Memory, steering_state &State,
                     membership::member_table &Members,
                     base::endpoint OwnAddress, status_source OwnStatus,
                     update_callback OnUpdate)
    : Loop(Loop), Memory(Memory), State(State), Members(Members),
      OwnAddress(std::move(OwnAddress)), OwnStatus(std::move(OwnStatus)),
      OnUpdate(std::move(OnUpdate)), Socket(Loop),
      Server(
          Loop, MaxMeshConnections, [] { return base::message_limits(); },
          [&State](const std::shared_ptr<net::pending_request> &Request) {
            const bool IsSnapshotRequest =
                Request->request().target() == SnapshotPath;
            Request->answer(IsSnapshotRequest
                                ? net::makeResponse(200, State.encodeSnapshot(),
                                                    "application/cbor")
                                : net::makeResponse(404));
          }) {}

bool mesh_link::start() {
  error_code Failure;
  Socket.open(udp::v4(), Failure);
  if (!Failure)
    Socket.bind(udp::endpoint(boost::asio::ip::make_address(OwnAddress.Address),
                              OwnAddress.Port),
                Failure);
  if (!Failure)
    Socket.non_blocking(true, Failure);
  if (Failure) {
    SKYLARKDYKE_LOG(ERROR, MeshListenFailed)
        << base::toString(OwnAddress) << ": " << Failure.message();
    return false;
  }
  receive();
  return Server.listen(OwnAddress);
}

void mesh_link::stop() {
  error_code Ignored;
  Socket.close(Ignored);
  Server.stopAccepting();
  if (SnapshotChannel)
    SnapshotChannel->close();
}

void mesh_link::receive() {
  Socket.async_receive_from(
      boost::asio::buffer(Datagram), Sender,
      [this](const error_code &Failure, std::size_t Size) {
        if (!Socket.is_open())
          return;
        if (!Failure)
          onDatagram(Size);
        receive();
      });
}

void mesh_link::onDatagram(std::size_t Size) {
  const auto Status =
      membership::decodeStatus(std::string(Datagram.data(), Size));
  if (!Status)
    return;
  if (!Members.recordHeartbeat(*Status, base::boot_clock::now()))
    return;
  SKYLARKDYKE_LOG(INFO, MemberReachable)
      << "name=" << Status->Name << " incarnation=" << Status->Incarnation;
  OnUpdate();
}

void mesh_link::send(const base::endpoint &To, const std::string &Bytes) {
  error_code Failure;
  Socket.send_to(
      boost::asio::buffer(Bytes),
      udp::endpoint(boost::asio::ip::make_address(To.Address, Failure),
                    To.Port),
      0, Failure);
}

void mesh_link::tick(base::boot_time Now) {
  for (const auto &[Period, Addresses] : Members.takeDueHeartbeats(Now)) {
    membership::entry_status Status = OwnStatus();
    Status.NextHeartbeatIn = Period;
    const std::string Bytes = membership::encode(Status);
    for (const base::endpoint &Address : Addresses)
      send(Address, Bytes);
  }
  fetchIfBehind(Now);
}

void mesh_link::broadcastHeartbeat(base::boot_time Now) {
  membership::entry_status Status = OwnStatus();
  Status.NextHeartbeatIn = membership::MaxRemoteHeartbeatPeriod;
  const std::string Bytes = membership::encode(Status);
  for (const auto *Member : Members.liveMembers(Now))
    send(Member->Status.MeshAddress, Bytes);
}

void mesh_link::fetchIfBehind(base::boot_time Now) {
  const membership::member_table::member *Ahead = nullptr;
  for (const auto *Member : Members.liveMembers(Now))
    if (Member->Status.ChangeRevision > State.confirmedRevision() &&
        (Ahead == nullptr ||
         Member->Status.ChangeRevision > Ahead->Status.ChangeRevision))
      Ahead = Member;
  if (Ahead == nullptr) {
    BehindSince = {};
    return;
  }
  if (BehindSince == base::boot_time{})
    BehindSince = Now;
  const bool Due =
      !State.isComplete() || Now - BehindSince >= WatchDelay + FetchDelay;
  if (Due && !FetchInProgress)
    fetchSnapshot(Ahead->Status.MeshAddress, Now);
}

void mesh_link::fetchSnapshot(const base::endpoint &From, base::boot_time Now) {
  FetchInProgress = true;
  SnapshotChannel = net::http_channel::create(Loop, From, Memory);
  net::http_request Request(bhttp::verb::get, SnapshotPath, 11);
  Request.set(bhttp::field::host, base::toString(From));
  Request.set(bhttp::field::connection, "close");
  SnapshotChannel->call(
      std::move(Request), {Now + FetchConnectTimeout, Now + FetchTimeout},
      [](const net::http_response &) { return true; },
      [this, From](net::call_result Result) {
        FetchInProgress = false;
        if (!Result) {
          LOG(WARNING) << "cannot fetch the state of " << base::toString(From)
                       << ": " << net::toString(Result.error().Fault);
          return;
        }
        if (State.adoptSnapshot(Result.value().body())) {
          SKYLARKDYKE_LOG(INFO, PeerConfigInstalled)
              << "from=" << base::toString(From)
              << " revision=" << State.confirmedRevision();
          OnUpdate();
        }
      });
}

} // namespace skylarkdyke::gateway::detail
