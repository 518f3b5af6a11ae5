#include "entries/detail/mesh_impl.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/entries/codec.hpp"

#include <algorithm>

namespace skylarkdyke::entries {

static std::string describe(const member &Member) {
  return Member.Name.str() + " " + base::toString(Member.Incarnation) + " at " +
         base::toString(Member.PeerAddress);
}

static bool sameState(const member &Left, const member &Right) {
  return Left.ConfigVersion == Right.ConfigVersion &&
         Left.Ready == Right.Ready && Left.Leaving == Right.Leaving &&
         Left.CallerAddress == Right.CallerAddress &&
         Left.Region == Right.Region && Left.Domain == Right.Domain;
}

base::incarnation_id mesh::impl::ownIncarnation() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Self.Incarnation;
}

std::string mesh::impl::refusalReason(const connection &Connection,
                                      const member &Peer) const {
  if (Peer.Incarnation == ownIncarnation())
    return "incarnation is this entry's own";
  if (std::find(Retired.begin(), Retired.end(), Peer.Incarnation) !=
      Retired.end())
    return "incarnation was replaced by a later one";
  if (Peer.PeerAddress == Settings.Self.PeerAddress)
    return "peer address is this entry's own";
  const auto Known = Members.find(Peer.Incarnation);
  if (Known != Members.end() &&
      (Known->second.Info.Name != Peer.Name ||
       !(Known->second.Info.PeerAddress == Peer.PeerAddress)))
    return "incarnation belongs to " + describe(Known->second.Info);
  const auto Previous = Members.find(Connection.Peer);
  if (Previous != Members.end() &&
      (Previous->second.Info.Name != Peer.Name ||
       !(Previous->second.Info.PeerAddress == Peer.PeerAddress)))
    return "name or peer address changed within a connection";
  return "";
}

void mesh::impl::onHello(connection &Connection, const hello &Hello) {
  member Peer = Hello.Self;
  const std::string Reason = refusalReason(Connection, Peer);
  if (!Reason.empty()) {
    if (Connection.Dialled && Peer.Incarnation == ownIncarnation())
      Addresses.markOwn(Connection.DialledAddress);
    refuse(Connection, Reason + " (" + describe(Peer) + ")");
    return;
  }
  const bool FirstHello = Connection.Peer == base::incarnation_id();
  if (!FirstHello && Connection.Peer != Peer.Incarnation) {
    SKYLARKDYKE_LOG(INFO, MemberIncarnationChanged) << describe(Peer);
    retire(Connection.Peer);
  }
  const auto Previous = Members.find(Peer.Incarnation);
  const bool Joined =
      Previous == Members.end() || Previous->second.Connection == nullptr;
  if (Connection.Peer != Peer.Incarnation &&
      !assignConnection(Connection, Peer)) {
    publish();
    return;
  }
  known_member &Known = Members.at(Peer.Incarnation);
  const auto Now = base::boot_clock::now();
  Known.LastReceived = Now;
  Detector->heartbeat(Peer.Incarnation, Now);
  Peer.Reachable = Known.Info.Reachable;
  const bool Changed = Joined || !sameState(Known.Info, Peer);
  Known.Info = Peer;
  if (Joined)
    SKYLARKDYKE_LOG(INFO, MemberJoined) << describe(Peer);
  publish();
  if (Changed)
    notify(Known.Info, Joined);
}

/// Makes a connection the active one of a member. Returns false if the
/// connection was refused or closed as a duplicate.
bool mesh::impl::assignConnection(connection &Connection, const member &Peer) {
  retireReplaced(Peer);
  if (Connection.Dialled && !(Connection.DialledAddress == Peer.PeerAddress) &&
      Aliases.size() < Settings.MaxAddresses)
    Aliases[Connection.DialledAddress] = Peer.PeerAddress;
  known_member &Known = Members[Peer.Incarnation];
  if (Known.Connection != nullptr && Known.Connection != &Connection &&
      !resolveDuplicate(*Known.Connection, Connection, Peer.Incarnation))
    return false;
  Known.Connection = &Connection;
  Connection.Peer = Peer.Incarnation;
  Connection.PeerAddress = Peer.PeerAddress;
  Connection.Socket->set_max_message_size(MaxMessageBytes);
  const auto Now = base::boot_clock::now();
  Addresses.markConnected(Peer.PeerAddress, Now);
  if (Connection.Dialled)
    Addresses.markConnected(Connection.DialledAddress, Now);
  ++MemberListGeneration;
  return true;
}

/// Keeps one of two connections to a member. Both sides keep the one that the
/// entry with the smaller incarnation dialled. Returns true if the new
/// connection is kept.
bool mesh::impl::resolveDuplicate(connection &Existing, connection &New,
                                  base::incarnation_id Peer) {
  if (Existing.Dialled == New.Dialled) {
    if (!Detector->suspects(Peer, base::boot_clock::now())) {
      refuse(New, "incarnation is connected already");
      return false;
    }
    // The peer has closed the old connection, and this side has not detected
    // it.
    drop(Existing);
    return true;
  }
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Counters.Duplicates;
  }
  const bool KeepNew = New.Dialled == (ownIncarnation() < Peer);
  connection &Discarded = KeepNew ? Existing : New;
  Discarded.Closing = true;
  // The peer may have sent messages on the discarded connection already, so it
  // is closed with a close handshake, which follows the buffered messages.
  Discarded.Peer = Peer;
  websocketpp::lib::error_code Ignored;
  Discarded.Socket->close(websocketpp::close::status::normal, "", Ignored);
  return KeepNew;
}

void mesh::impl::retire(base::incarnation_id Old) {
  Retired.push_back(Old);
  Detector->forget(Old);
  Requests.failMember(Old);
  Members.erase(Old);
}

/// Retires the known incarnations at the peer's address. Two processes cannot
/// listen on one address, so the peer's new incarnation has replaced them.
void mesh::impl::retireReplaced(const member &Peer) {
  std::vector<base::incarnation_id> Replaced;
  for (const auto &[Incarnation, Known] : Members)
    if (Known.Info.PeerAddress == Peer.PeerAddress &&
        Incarnation != Peer.Incarnation)
      Replaced.push_back(Incarnation);
  for (const base::incarnation_id Old : Replaced) {
    connection *Connection = Members.at(Old).Connection;
    SKYLARKDYKE_LOG(INFO, MemberIncarnationChanged)
        << describe(Peer) << " replaces " << base::toString(Old);
    retire(Old);
    if (Connection != nullptr && Connection->Peer == Old)
      drop(*Connection);
  }
}

void mesh::impl::onHeartbeat(connection &Connection,
                             const heartbeat &Heartbeat) {
  const auto Now = base::boot_clock::now();
  for (const base::endpoint &Address : Heartbeat.Members)
    if (!(Address == Settings.Self.PeerAddress) &&
        !Addresses.addOrRefresh(Address, Now))
      countDropped();
  known_member &Known = Members.at(Connection.Peer);
  Known.LastReceived = Now;
  Detector->heartbeat(Connection.Peer, Now);
  member &Info = Known.Info;
  if (Info.Reachable && Info.ConfigVersion == Heartbeat.ConfigVersion &&
      Info.Leaving == Heartbeat.Leaving)
    return;
  const bool Changed = Info.ConfigVersion != Heartbeat.ConfigVersion ||
                       Info.Leaving != Heartbeat.Leaving;
  Info.ConfigVersion = Heartbeat.ConfigVersion;
  Info.Leaving = Heartbeat.Leaving;
  publish();
  if (Changed)
    notify(Info, false);
}

void mesh::impl::updateReachability(base::boot_time Now) {
  for (const auto &[Incarnation, Known] : Members)
    if (Known.Info.Reachable && Detector->suspects(Incarnation, Now)) {
      publish();
      return;
    }
}

void mesh::impl::forgetExpired(base::boot_time Now) {
  std::vector<base::incarnation_id> Expired;
  for (const auto &[Incarnation, Known] : Members)
    if (Known.Connection == nullptr &&
        Now >= Known.LastReceived + Settings.ForgetAfter)
      Expired.push_back(Incarnation);
  for (const base::incarnation_id Old : Expired) {
    SKYLARKDYKE_LOG(INFO, MemberForgotten) << describe(Members.at(Old).Info);
    Detector->forget(Old);
    Members.erase(Old);
  }
  if (!Expired.empty())
    publish();
}

/// Updates the reachability of the members and publishes their states to other
/// threads.
void mesh::impl::publish() {
  const auto Now = base::boot_clock::now();
  std::vector<member> Published;
  Published.reserve(Members.size());
  for (auto &[Incarnation, Known] : Members) {
    const bool Reachable =
        Known.Connection != nullptr && !Detector->suspects(Incarnation, Now);
    if (Known.Info.Reachable && !Reachable)
      SKYLARKDYKE_LOG(WARNING, MemberUnreachable) << describe(Known.Info);
    else if (!Known.Info.Reachable && Reachable)
      SKYLARKDYKE_LOG(INFO, MemberReachable) << describe(Known.Info);
    Known.Info.Reachable = Reachable;
    Published.push_back(Known.Info);
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  MemberSnapshot = std::move(Published);
}

void mesh::impl::notify(const member &Member, bool Joined) {
  const member Copy = Member;
  for (const member_handler &Handler : MemberHandlers)
    runGuarded([&] { Handler(Copy, Joined); });
}

} // namespace skylarkdyke::entries
