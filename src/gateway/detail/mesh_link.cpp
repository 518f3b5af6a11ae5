#include "gateway/detail/mesh_link.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/base/overloaded.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;
using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Time, in addition to the watch delay, for which another entry must have a
/// newer state before this entry fetches it. By then the same changes have
/// usually arrived in another way.
static constexpr milliseconds FetchDelay{150};
/// The same time for entries that are no relays: the relay of their failure
/// domain may be the last one to learn of the changes.
static constexpr milliseconds FollowerFetchDelay{400};
static constexpr milliseconds FetchTimeout{1500};
static constexpr milliseconds FetchConnectTimeout{500};
/// Time after which a second entry is asked while the first one is silent: for
/// changes, and for the complete state, which takes longer to send.
static constexpr milliseconds SecondFetchDelay{300};
static constexpr milliseconds SecondSnapshotDelay{800};
static constexpr std::size_t MaxRunningFetches = 2;
/// Time between two requests for a state that is not newer than the own one,
/// see steering_state::needsPeerState().
static constexpr milliseconds PeerStateFetchPeriod{1000};
static constexpr std::size_t MaxMeshConnections = 256;
/// Maximum size of changes that are published in a datagram. Larger ones are
/// fetched.
static constexpr std::size_t MaxPublishedBytes = 1300;
/// Time for which an encoded complete state is used again while nothing
/// changes.
static constexpr milliseconds SnapshotLifetime{250};
/// Fraction of the link that complete states may use, and time for which an
/// entry may be busy with those that it has promised. Beyond that it refuses:
/// many transfers at the same time would all end at their time limit.
static constexpr double SnapshotLinkFraction = 0.5;
static constexpr milliseconds MaxSnapshotBacklog{500};
static constexpr double BytesPerMbit = 125000;
/// Path of the state; the version that the requester has follows.
static const std::string StatePath = "/state?after=";
/// Precedes the configuration version that the requester has.
static const std::string ConfigurationField = "&configuration=";

mesh_link::mesh_link(boost::asio::io_context &Loop,
                     net::response_memory &Memory, steering_state &State,
                     membership::member_table &Members,
                     base::endpoint OwnAddress, double LinkMbitPerSecond,
                     status_source OwnStatus, update_callback OnUpdate)
    : Loop(Loop), Memory(Memory), State(State), Members(Members),
      OwnAddress(std::move(OwnAddress)),
      SnapshotBytesPerSecond(std::max(1.0, SnapshotLinkFraction * BytesPerMbit *
                                               LinkMbitPerSecond)),
      OwnStatus(std::move(OwnStatus)), OnUpdate(std::move(OnUpdate)),
      Socket(Loop),
      Server(
          Loop, MaxMeshConnections, [] { return base::message_limits(); },
          [this](const std::shared_ptr<net::pending_request> &Request) {
            onStateRequest(Request);
          }) {}

bool mesh_link::start() {
  State.setConfirmedCallback(
      [this] { publishChanges(base::boot_clock::now()); });
  State.setColdCallback([this](const cold_notice &Notice, bool PassedOn) {
    publishCold(Notice, PassedOn);
  });
  State.setLeavingCallback([this](const placement::leaving_notice &Notice) {
    publishLeaving(Notice);
  });
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
  for (const running_fetch &Fetch : Fetches)
    Fetch.Channel->close();
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
  const auto Message =
      membership::decodeMessage(std::string(Datagram.data(), Size));
  if (!Message)
    return;
  std::visit(
      base::overloaded{
          [this](const membership::entry_status &Status) {
            onHeartbeat(Status);
          },
          [this](const membership::digest &Digest) { onDigest(Digest); },
          [this](const membership::state_update &Update) {
            onStateUpdate(Update);
          },
          [this](const quotas::token_request &Request) {
            OnTokenRequest(Request);
          },
          [this](const quotas::token_grant &Grant) { OnTokenGrant(Grant); }},
      *Message);
}

void mesh_link::onHeartbeat(const membership::entry_status &Status) {
  const auto Now = base::boot_clock::now();
  State.noteOtherState(
      {Status.ChangeVersion, Status.ConfigurationVersion, Status.StateAge});
  const bool IsNew = Members.recordHeartbeat(Status, Now);
  if (Members.takeDueIntroduction(Status, IsNew, Now))
    introduceTo(Status, Now);
  if (!State.isComplete())
    fetchIfBehind(Now);
  fetchConfiguration(Status, Now);
  if (!IsNew)
    return;
  SKYLARKDYKE_LOG(INFO, MemberReachable)
      << "name=" << Status.Name << " incarnation=" << Status.Incarnation;
  OnUpdate();
}

void mesh_link::onDigest(const membership::digest &Digest) {
  const auto Now = base::boot_clock::now();
  const membership::entry_status &Sender = Digest.Sender;
  State.noteOtherState(
      {Sender.ChangeVersion, Sender.ConfigurationVersion, Sender.StateAge});
  const bool Changed = Members.recordDigest(Digest, Now);
  if (!State.isComplete())
    fetchIfBehind(Now);
  fetchConfiguration(Sender, Now);
  if (Changed)
    OnUpdate();
}

void mesh_link::onStateUpdate(const membership::state_update &Update) {
  if (State.adoptState(Update.Changes))
    OnUpdate();
}

/// Tells an entry whom to contact.
void mesh_link::introduceTo(const membership::entry_status &Status,
                            base::boot_time Now) {
  membership::entry_status Own = OwnStatus();
  Own.KnownAddresses = Members.introductionsFor(Status.Domain, Now);
  Own.NextHeartbeatIn = membership::MaxRemoteHeartbeatPeriod;
  send(Status.MeshAddress, membership::encode(Own));
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
  Members.updateRelays(OwnStatus(), Now);
  sendHeartbeats(Now);
  publishChanges(Now);
  if (Members.sendsDigests())
    sendDigests(Now);
  fetchIfBehind(Now);
}

void mesh_link::sendHeartbeats(base::boot_time Now) {
  for (const auto &[Period, Addresses] : Members.takeDueHeartbeats(Now)) {
    membership::entry_status Status = OwnStatus();
    Status.NextHeartbeatIn = Period;
    Status.KnownAddresses = Members.takeAddressSample(Now);
    const std::string Bytes = membership::encode(Status);
    for (const base::endpoint &Address : Addresses)
      send(Address, Bytes);
  }
}

void mesh_link::sendDigests(base::boot_time Now) {
  if (Now < NextDigestAt)
    return;
  NextDigestAt = Now + membership::DigestPeriod;
  membership::entry_status Own = OwnStatus();
  Own.NextHeartbeatIn = membership::DigestPeriod;
  const std::string Local =
      membership::encode(Members.makeLocalDigest(Own, Now));
  for (const base::endpoint &Address : Members.digestReceivers(Now))
    send(Address, Local);
  const std::string Remote =
      membership::encode(Members.makeRemoteDigest(Own, Now));
  for (const base::endpoint &Address : Members.remoteDigestReceivers())
    send(Address, Remote);
}

/// Sends the changes since the last publication to the entries of the own
/// failure domain. A datagram that is lost or too large is made up for by
/// fetchIfBehind(): the next digest tells the revision.
void mesh_link::publishChanges(base::boot_time Now) {
  const base::store_version After =
      std::exchange(PublishedVersion, State.confirmedVersion());
  if (!Members.isRelay() || After.Revision == 0 || PublishedVersion <= After)
    return;
  const membership::state_update Update{OwnAddress,
                                        State.encodeStateAfter(After)};
  membership::entry_status Own = OwnStatus();
  Own.NextHeartbeatIn = membership::DigestPeriod;
  const std::string Bytes = Update.Changes.size() <= MaxPublishedBytes
                                ? membership::encode(Update)
                                : membership::encode(Own);
  for (const base::endpoint &Address : Members.followersIn(Own.Domain, Now))
    send(Address, Bytes);
}

/// Tells of a target that leaves, once for each of its incarnations. What was
/// heard from another entry is passed on by the relays of large regions only.
/// A datagram that is lost is made up for by the next state or changes.
void mesh_link::publishLeaving(const placement::leaving_notice &Notice) {
  if (Notice.Source == placement::leaving_source::Entry &&
      !Members.sendsDigests())
    return;
  publishToOthers(
      encode(leaving_update{{toEncoded(Notice, base::boot_clock::now())}}));
}

void mesh_link::publishCold(const cold_notice &Notice, bool PassedOn) {
  const auto Now = base::boot_clock::now();
  if (!PassedOn || Members.sendsDigests())
    publishToOthers(
        encode(cold_update{Notice.Target,
                           std::chrono::duration_cast<milliseconds>(
                               std::max(Notice.ColdUntil, Now) - Now),
                           Notice.Finding}));
}

/// Sends a message to the entries that are told of news at once.
void mesh_link::publishToOthers(const std::string &StateMessage) {
  const std::string Bytes =
      membership::encode(membership::state_update{OwnAddress, StateMessage});
  for (const base::endpoint &Address :
       Members.noticeReceivers(base::boot_clock::now()))
    send(Address, Bytes);
}

void mesh_link::publishCrashes(const crash_update &Update, bool PassedOn) {
  if (!PassedOn || Members.sendsDigests())
    publishToOthers(encode(Update));
}

void mesh_link::broadcastHeartbeat(base::boot_time Now) {
  membership::entry_status Status = OwnStatus();
  Status.NextHeartbeatIn = membership::MaxRemoteHeartbeatPeriod;
  const std::string Bytes = membership::encode(Status);
  for (const auto *Member : Members.liveMembers(Now))
    send(Member->Status.MeshAddress, Bytes);
}

/// Returns the complete state; nothing if the link is busy with earlier ones.
std::optional<std::string> mesh_link::takeSnapshot(base::boot_time Now) {
  if (SnapshotsSentBy - Now > MaxSnapshotBacklog)
    return std::nullopt;
  // A requester that gets an older state than this entry has would use what
  // has been withdrawn.
  const bool Changed = SnapshotChangeVersion != State.changeVersion() ||
                       SnapshotConfiguration != State.version();
  if (Snapshot.empty() || Changed || Now - SnapshotAt > SnapshotLifetime) {
    Snapshot = State.encodeSnapshot();
    SnapshotAt = Now;
    SnapshotChangeVersion = State.changeVersion();
    SnapshotConfiguration = State.version();
  }
  const std::chrono::duration<double> SendTime(
      static_cast<double>(Snapshot.size()) / SnapshotBytesPerSecond);
  SnapshotsSentBy =
      std::max(SnapshotsSentBy, Now) +
      std::chrono::duration_cast<std::chrono::nanoseconds>(SendTime);
  return Snapshot;
}

/// Returns the version that a request for the state names; zero if it names
/// none. Entries of earlier versions name a revision without an era.
static base::store_version parseVersion(const std::string &Target) {
  char *End = nullptr;
  const std::uint64_t First =
      std::strtoull(Target.c_str() + StatePath.size(), &End, 10);
  return *End == '.'
             ? base::store_version{First, std::strtoull(End + 1, nullptr, 10)}
             : base::store_version{0, First};
}

/// Returns the configuration version that a request for the state names.
/// Entries of earlier versions name none.
static std::uint64_t parseConfiguration(const std::string &Target) {
  const std::size_t At = Target.find(ConfigurationField);
  return At == std::string::npos
             ? steering_state::AnyConfiguration
             : std::strtoull(Target.c_str() + At + ConfigurationField.size(),
                             nullptr, 10);
}

void mesh_link::onStateRequest(
    const std::shared_ptr<net::pending_request> &Request) {
  const std::string Target(Request->request().target());
  if (Target.compare(0, StatePath.size(), StatePath) != 0)
    return Request->answer(net::makeResponse(404));
  const base::store_version Version = parseVersion(Target);
  const std::uint64_t Configuration = parseConfiguration(Target);
  const auto Bytes = State.hasChangesAfter(Version, Configuration)
                         ? State.encodeStateAfter(Version, Configuration)
                         : takeSnapshot(base::boot_clock::now());
  if (!Bytes)
    return Request->answer(net::makeResponse(503, "ask another entry\n"));
  Request->answer(net::makeResponse(200, *Bytes, "application/cbor"));
}

/// Returns the live entries with a newer state.
std::vector<const mesh_link::member *>
mesh_link::entriesAhead(base::boot_time Now) const {
  std::vector<const member *> Ahead;
  for (const member *Member : Members.liveMembers(Now)) {
    // Only relays tell their version to all; an entry without a state, or with
    // one that rests on a listing alone, also takes that of any other that is
    // ready.
    const bool KnowsMore = State.needsPeerState() &&
                           !Member->Status.StateFromListing &&
                           Now >= NextPeerStateFetchAt;
    const bool HasState =
        Member->Status.Ready && (!State.isComplete() || KnowsMore);
    if (Member->Status.ChangeVersion > State.confirmedVersion() || HasState ||
        State.lacksConfiguration(Member->Status.ConfigurationVersion))
      Ahead.push_back(Member);
  }
  return Ahead;
}

/// Returns the entry to ask; null if all are being asked. The first choice is
/// one with the newest state, so that an entry that starts does not take over
/// what others know to be out of date. Later choices differ, so that no entry
/// has to serve all.
const mesh_link::member *
mesh_link::chooseSource(std::vector<const member *> Ahead) const {
  base::store_version Newest;
  for (const member *Member : Ahead)
    Newest = std::max(Newest, Member->Status.ChangeVersion);
  const bool IsFirst = FailedFetches == 0 && Fetches.empty();
  const auto IsExcluded = [&](const member *Member) {
    const bool IsAsked =
        std::any_of(Fetches.begin(), Fetches.end(), [&](const auto &Fetch) {
          return Fetch.From == Member->Status.MeshAddress;
        });
    return IsAsked || (IsFirst && Member->Status.ChangeVersion < Newest);
  };
  Ahead.erase(std::remove_if(Ahead.begin(), Ahead.end(), IsExcluded),
              Ahead.end());
  if (Ahead.empty())
    return nullptr;
  const std::size_t Choice =
      std::hash<std::string>()(OwnAddress.Address) + FailedFetches;
  return Ahead[Choice % Ahead.size()];
}

bool mesh_link::mayStartFetch(base::boot_time Now) const {
  const milliseconds Delay =
      State.isComplete() ? SecondFetchDelay : SecondSnapshotDelay;
  return Fetches.empty() || (Fetches.size() < MaxRunningFetches &&
                             Now - Fetches.back().StartedAt >= Delay);
}

void mesh_link::fetchIfBehind(base::boot_time Now) {
  auto Ahead = entriesAhead(Now);
  if (Ahead.empty()) {
    BehindSince = {};
    FailedFetches = 0;
    return;
  }
  if (BehindSince == base::boot_time{})
    BehindSince = Now;
  const milliseconds Delay =
      Members.isRelay() ? WatchDelay + FetchDelay : FollowerFetchDelay;
  const bool Due = !State.isComplete() || Now - BehindSince >= Delay;
  if (!Due || !mayStartFetch(Now))
    return;
  if (const member *Source = chooseSource(std::move(Ahead)))
    fetchState(Source->Status.MeshAddress, Now);
}

/// Fetches a configuration that an entry of the own failure domain has. It is
/// mostly too large for a datagram, so that waiting for one would be in vain.
void mesh_link::fetchConfiguration(const membership::entry_status &Status,
                                   base::boot_time Now) {
  const bool IsNewer = State.isComplete() &&
                       State.lacksConfiguration(Status.ConfigurationVersion);
  if (IsNewer && Fetches.empty() && !Members.isRelay() &&
      Status.Domain == OwnStatus().Domain)
    fetchState(Status.MeshAddress, Now);
}

void mesh_link::fetchState(const base::endpoint &From, base::boot_time Now) {
  const auto Channel = net::http_channel::create(Loop, From, Memory);
  Fetches.push_back({From, Now, Channel});
  const bool WantsAll = !State.isComplete() || State.needsPeerState();
  NextPeerStateFetchAt = Now + PeerStateFetchPeriod;
  const base::store_version After =
      WantsAll ? base::store_version() : State.confirmedVersion();
  net::http_request Request(bhttp::verb::get,
                            StatePath + base::toString(After) +
                                ConfigurationField +
                                std::to_string(State.newestExaminedVersion()),
                            11);
  Request.set(bhttp::field::host, base::toString(From));
  Request.set(bhttp::field::connection, "close");
  Channel->call(
      std::move(Request), {Now + FetchConnectTimeout, Now + FetchTimeout},
      [](const net::http_response &) { return true; },
      [this, From](const net::call_result &Result) {
        onStateResponse(From, Result);
      });
}

void mesh_link::onStateResponse(const base::endpoint &From,
                                const net::call_result &Result) {
  Fetches.erase(
      std::remove_if(Fetches.begin(), Fetches.end(),
                     [&](const auto &Fetch) { return Fetch.From == From; }),
      Fetches.end());
  if (!Result || Result.value().result_int() != 200) {
    ++FailedFetches;
    LOG(WARNING) << "cannot fetch the state of " << base::toString(From) << ": "
                 << (Result ? "refused" : net::toString(Result.error().Fault));
    return;
  }
  if (State.adoptState(Result.value().body())) {
    FailedFetches = 0;
    SKYLARKDYKE_LOG(INFO, PeerConfigInstalled)
        << "from=" << base::toString(From)
        << " version=" << base::toString(State.confirmedVersion());
    return OnUpdate();
  }
  // What it sent may have arrived in another way meanwhile.
  if (!entriesAhead(base::boot_clock::now()).empty())
    ++FailedFetches;
}

} // namespace skylarkdyke::gateway::detail
