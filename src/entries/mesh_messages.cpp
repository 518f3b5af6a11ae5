#include "entries/detail/mesh_impl.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/entries/codec.hpp"

namespace skylarkdyke::entries {

void mesh::impl::onMessage(websocketpp::connection_hdl Handle,
                           const websocket::message_ptr &Message) {
  connection *Connection = find(std::move(Handle));
  if (Connection == nullptr)
    return;
  Connection->LastReceived = base::boot_clock::now();
  const std::string &Bytes = Message->get_payload();
  const auto Decoded =
      Message->get_opcode() == websocketpp::frame::opcode::binary
          ? decode(Bytes)
          : decode_error{decode_fault::Malformed, "text frame"};
  if (Decoded.has_value()) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      type_counters &Type = Counters.Types.at(Decoded.value().index());
      ++Type.MessagesIn;
      Type.BytesIn += Bytes.size();
    }
    dispatch(*Connection, Decoded.value());
    return;
  }
  const decode_error &Error = Decoded.error();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Error.Fault == decode_fault::Unknown)
      ++Counters.UnknownType;
    else if (Error.Fault == decode_fault::Oversized)
      ++Counters.Oversized;
    else
      ++Counters.Malformed;
  }
  if (Error.Fault != decode_fault::Unknown) {
    if (mayLogFault(Connection->LastReceived))
      SKYLARKDYKE_LOG(WARNING, PeerMessageRefused)
          << Connection->Socket->get_remote_endpoint() << ": " << Error.Reason;
    drop(*Connection);
  }
}

void mesh::impl::dispatch(connection &Connection, const message &Message) {
  if (const auto *Hello = std::get_if<hello>(&Message)) {
    const websocket *Key = Connection.Socket.get();
    onHello(Connection, *Hello);
    if (Connections.count(Key) == 0)
      return;
  }
  const auto Known = Members.find(Connection.Peer);
  if (Known == Members.end()) {
    // Messages may still arrive on a duplicate connection to a member that has
    // been replaced since, and are ignored. A message before the hello is
    // refused.
    if (Connection.Peer == base::incarnation_id())
      refuse(Connection, "message before hello");
    return;
  }
  const member From = Known->second.Info;
  if (const auto *Heartbeat = std::get_if<heartbeat>(&Message))
    onHeartbeat(Connection, *Heartbeat);
  bool Expected = true;
  if (const auto *Ack = std::get_if<intent_ack>(&Message))
    Expected = Requests.resolve(From.Incarnation, Ack->RequestId, *Ack);
  else if (const auto *Reply = std::get_if<seal_reply>(&Message))
    Expected = Requests.resolve(From.Incarnation, Reply->RequestId, *Reply);
  if (!Expected) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Counters.LateReplies;
  }
  for (const handler<message> &Handler : Handlers.at(Message.index()))
    runGuarded([&] { Handler(From, Message); });
}

void mesh::impl::sendHellos() {
  hello Hello;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Hello = {Self, Seat};
  }
  const std::string Bytes = encode(Hello);
  std::vector<websocket_ptr> Sockets;
  for (const auto &[Key, Connection] : Connections)
    if (Connection.Open && !Connection.Closing)
      Sockets.push_back(Connection.Socket);
  for (const websocket_ptr &Socket : Sockets)
    write(Connections.at(Socket.get()), message(Hello).index(), Bytes);
}

void mesh::impl::sendHeartbeats() {
  heartbeat Heartbeat;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Heartbeat.ConfigVersion = Self.ConfigVersion;
    Heartbeat.Leaving = Self.Leaving;
    Heartbeat.Loads = Loads;
  }
  Heartbeat.Sequence = ++Sequence;
  const std::size_t Type = message(Heartbeat).index();
  const std::string WithoutMembers = encode(Heartbeat);
  std::vector<base::incarnation_id> Receivers;
  for (const auto &[Incarnation, Known] : Members)
    if (Known.Connection != nullptr) {
      Receivers.push_back(Incarnation);
      Heartbeat.Members.push_back(Known.Info.PeerAddress);
    }
  std::string WithMembers;
  for (const base::incarnation_id To : Receivers) {
    const auto Known = Members.find(To);
    if (Known == Members.end() || Known->second.Connection == nullptr)
      continue;
    connection &Connection = *Known->second.Connection;
    if (Connection.SentGeneration == MemberListGeneration) {
      write(Connection, Type, WithoutMembers);
      continue;
    }
    if (WithMembers.empty())
      WithMembers = encode(Heartbeat);
    Connection.SentGeneration = MemberListGeneration;
    write(Connection, Type, WithMembers);
  }
}

/// Appends bytes to the send buffer of a connection. Returns false if they do
/// not fit or the connection is closing; the connection may be invalid
/// afterwards.
bool mesh::impl::write(connection &Connection, std::size_t Type,
                       const std::string &Bytes) {
  if (Connection.Socket->get_buffered_amount() + Bytes.size() >
      Settings.MaxBufferedBytes) {
    SKYLARKDYKE_LOG(WARNING, PeerTooSlow)
        << Connection.Socket->get_remote_endpoint();
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Counters.TooSlow;
    }
    drop(Connection);
    return false;
  }
  if (Connection.Socket->send(Bytes.data(), Bytes.size(),
                              websocketpp::frame::opcode::binary))
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex);
  type_counters &Counter = Counters.Types.at(Type);
  ++Counter.MessagesOut;
  Counter.BytesOut += Bytes.size();
  return true;
}

bool mesh::impl::sendTo(base::incarnation_id To, std::size_t Type,
                        const std::string &Bytes) {
  const auto Known = Members.find(To);
  return Known != Members.end() && Known->second.Connection != nullptr &&
         write(*Known->second.Connection, Type, Bytes);
}

void mesh::impl::countDropped() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Counters.Dropped;
}

} // namespace skylarkdyke::entries
