#include "entries/detail/mesh_impl.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/entries/codec.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace skylarkdyke::entries {

namespace asio = boost::asio;
using websocketpp::connection_hdl;

/// Maximum size of the first message, in bytes, so that unidentified clients
/// cannot make this entry allocate much memory.
static constexpr std::size_t MaxHelloBytes = 4096;
/// HTTP path of the WebSocket endpoint.
static constexpr const char *MeshPath = "/mesh";

void mesh::impl::setHandlers() {
  const auto Message = [this](connection_hdl Handle,
                              const websocket::message_ptr &Payload) {
    onMessage(std::move(Handle), Payload);
  };
  const auto Open = [this](connection_hdl Handle) {
    onOpen(std::move(Handle));
  };
  const auto Closed = [this](connection_hdl Handle) {
    onClosed(std::move(Handle));
  };
  const auto Configure = [&](auto &Endpoint) {
    Endpoint.init_asio(&Context);
    Endpoint.set_open_handshake_timeout(
        static_cast<long>(Settings.HandshakeTimeout.count()));
    Endpoint.set_max_message_size(MaxHelloBytes);
    Endpoint.set_message_handler(Message);
    Endpoint.set_open_handler(Open);
    Endpoint.set_close_handler(Closed);
    Endpoint.set_fail_handler(Closed);
  };
  Configure(Server);
  Configure(Client);
  Server.set_reuse_addr(true);
  Server.set_tcp_pre_init_handler(
      [this](connection_hdl Handle) { onAccepted(std::move(Handle)); });
}

bool mesh::impl::listen() {
  boost::system::error_code Error;
  const base::endpoint Listen =
      Settings.ListenAddress.value_or(Settings.Self.PeerAddress);
  const auto Address = asio::ip::make_address_v4(Listen.Address, Error);
  websocketpp::lib::error_code ListenError;
  if (!Error)
    Server.listen({Address, Listen.Port}, ListenError);
  if (!Error && !ListenError)
    Server.start_accept(ListenError);
  if (!Error && !ListenError)
    return true;
  SKYLARKDYKE_LOG(ERROR, MeshListenFailed)
      << base::toString(Listen) << ": "
      << (Error ? Error.message() : ListenError.message());
  return false;
}

bool mesh::impl::isConnectedTo(const base::endpoint &Address) const {
  for (const auto &[Incarnation, Known] : Members)
    if (Known.Connection != nullptr && Known.Info.PeerAddress == Address)
      return true;
  return false;
}

bool mesh::impl::isConnectedToAlias(const base::endpoint &Address) const {
  const auto Found = Aliases.find(Address);
  return Found != Aliases.end() && isConnectedTo(Found->second);
}

void mesh::impl::dialDueAddresses(base::boot_time Now) {
  Addresses.removeExpired(Now);
  for (const base::endpoint &Address : Addresses.dueAddresses(Now)) {
    if (isConnectedTo(Address))
      Addresses.markConnected(Address, Now);
    else if (!isConnectedToAlias(Address))
      dial(Address, Now);
  }
}

void mesh::impl::dial(const base::endpoint &Address, base::boot_time Now) {
  websocketpp::lib::error_code Error;
  const websocket_ptr Socket = Client.get_connection(
      "ws://" + base::toString(Address) + MeshPath, Error);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Counters.Dials;
  }
  if (Error) {
    Addresses.markFailed(Address, Now);
    return;
  }
  Addresses.markDialling(Address);
  connection &New = Connections[Socket.get()];
  New.Socket = Socket;
  New.Dialled = true;
  New.DialledAddress = Address;
  Client.connect(Socket);
}

mesh::impl::connection *mesh::impl::find(connection_hdl Handle) {
  websocketpp::lib::error_code Error;
  const auto Socket = Server.get_con_from_hdl(std::move(Handle), Error);
  const auto Found = Connections.find(Socket.get());
  return Found == Connections.end() ? nullptr : &Found->second;
}

void mesh::impl::onAccepted(connection_hdl Handle) {
  websocketpp::lib::error_code Error;
  const auto Socket = Server.get_con_from_hdl(std::move(Handle), Error);
  const auto Accepted = static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Item) { return !Item.second.Dialled; }));
  if (Accepted >= Settings.MaxAccepted) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Counters.OverLimit;
    }
    boost::system::error_code Ignored;
    Socket->get_raw_socket().close(Ignored);
    return;
  }
  Connections[Socket.get()].Socket = Socket;
}

void mesh::impl::onOpen(connection_hdl Handle) {
  connection *Connection = find(std::move(Handle));
  if (Connection == nullptr)
    return;
  boost::system::error_code Ignored;
  Connection->Socket->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                                  Ignored);
  const auto Now = base::boot_clock::now();
  Connection->Open = true;
  Connection->HelloDeadline = Now + Settings.HelloTimeout;
  Connection->LastReceived = Now;
  hello Hello;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Hello = {Self, Seat};
  }
  write(*Connection, message(Hello).index(), encode(Hello));
}

void mesh::impl::onClosed(connection_hdl Handle) {
  connection *Found = find(std::move(Handle));
  if (Found == nullptr)
    return;
  const connection Ended = std::move(*Found);
  countProtocolError(*Ended.Socket);
  const auto Known = Members.find(Ended.Peer);
  const bool WasInUse =
      Known != Members.end() && Known->second.Connection == Found;
  Connections.erase(Ended.Socket.get());
  if (WasInUse) {
    Known->second.Connection = nullptr;
    ++MemberListGeneration;
    Requests.failMember(Ended.Peer);
    publish();
  }
  const auto Now = base::boot_clock::now();
  if (WasInUse)
    Addresses.markFailed(Ended.PeerAddress, Now);
  const bool AlreadyMarked =
      WasInUse && Ended.DialledAddress == Ended.PeerAddress;
  if (Ended.Dialled && !AlreadyMarked && !isConnectedTo(Ended.DialledAddress))
    Addresses.markFailed(Ended.DialledAddress, Now);
  if (Ended.Open)
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++(Ended.Dialled ? Counters.DialsFailed : Counters.HandshakesFailed);
}

void mesh::impl::countProtocolError(const websocket &Socket) {
  namespace processor_error = websocketpp::processor::error;
  const websocketpp::lib::error_code Error = Socket.get_ec();
  if (Error.category() != processor_error::get_processor_category())
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Error ==
      processor_error::make_error_code(processor_error::message_too_big))
    ++Counters.Oversized;
  else
    ++Counters.Malformed;
}

/// Closes a connection immediately, without a close handshake. The connection
/// is invalid afterwards.
void mesh::impl::drop(connection &Connection) {
  const websocket_ptr Socket = Connection.Socket;
  Socket->terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
}

/// Limits log lines about faulty peers to one per second, so that they cannot
/// fill the log.
bool mesh::impl::mayLogFault(base::boot_time Now) {
  if (Now < NextFaultLog)
    return false;
  NextFaultLog = Now + std::chrono::seconds(1);
  return true;
}

/// Closes a connection because of an unacceptable or missing message of the
/// peer. The connection is invalid afterwards.
void mesh::impl::refuse(connection &Connection, const std::string &Reason) {
  if (mayLogFault(base::boot_clock::now()))
    SKYLARKDYKE_LOG(WARNING, PeerRefused)
        << Connection.Socket->get_remote_endpoint() << ": " << Reason;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Counters.Refused;
  }
  drop(Connection);
}

void mesh::impl::closeExpired(base::boot_time Now, bool WasPaused) {
  if (WasPaused)
    return;
  std::vector<websocket_ptr> NoHello;
  std::vector<websocket_ptr> Idle;
  for (const auto &[Key, Connection] : Connections) {
    if (!Connection.Open)
      continue;
    if (Connection.Peer == base::incarnation_id() &&
        Now >= Connection.HelloDeadline)
      NoHello.push_back(Connection.Socket);
    else if (Now >= Connection.LastReceived + Settings.IdleTimeout)
      Idle.push_back(Connection.Socket);
  }
  for (const websocket_ptr &Socket : NoHello)
    refuse(Connections.at(Socket.get()), "no hello in time");
  for (const websocket_ptr &Socket : Idle) {
    SKYLARKDYKE_LOG(WARNING, PeerSilent) << Socket->get_remote_endpoint();
    drop(Connections.at(Socket.get()));
  }
}

} // namespace skylarkdyke::entries
