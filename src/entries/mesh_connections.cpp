#include "entries/detail/mesh_impl.hpp"
#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/entries/codec.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace skylarkdyke::entries {

namespace asio = boost::asio;
using websocketpp::connection_hdl;

/// Largest message before the hello: strangers must not make this entry hold
/// much memory.
static constexpr std::size_t MaxHelloBytes = 4096;
static constexpr const char *Path = "/mesh";

void mesh::impl::setHandlers() {
  const auto Message = [this](connection_hdl Handle,
                              const websocket::message_ptr &Payload) {
    onMessage(std::move(Handle), Payload);
  };
  const auto Open = [this](connection_hdl Handle) {
    onOpen(std::move(Handle));
  };
  const auto End = [this](connection_hdl Handle) { onEnd(std::move(Handle)); };
  const auto SetUp = [&](auto &Endpoint) {
    Endpoint.init_asio(&Context);
    Endpoint.set_open_handshake_timeout(
        static_cast<long>(Settings.HandshakeTimeout.count()));
    Endpoint.set_max_message_size(MaxHelloBytes);
    Endpoint.set_message_handler(Message);
    Endpoint.set_open_handler(Open);
    Endpoint.set_close_handler(End);
    Endpoint.set_fail_handler(End);
  };
  SetUp(Server);
  SetUp(Client);
  Server.set_reuse_addr(true);
  Server.set_tcp_pre_init_handler(
      [this](connection_hdl Handle) { onAccepted(std::move(Handle)); });
}

bool mesh::impl::listen() {
  boost::system::error_code Fault;
  const base::endpoint Listen =
      Settings.ListenAddress.value_or(Settings.Self.PeerAddress);
  const auto Address = asio::ip::make_address_v4(Listen.Address, Fault);
  websocketpp::lib::error_code ListenFault;
  if (!Fault)
    Server.listen({Address, Listen.Port}, ListenFault);
  if (!Fault && !ListenFault)
    Server.start_accept(ListenFault);
  if (!Fault && !ListenFault)
    return true;
  SKYLARKDYKE_LOG(ERROR, MeshListenFailed)
      << base::toString(Listen) << ": "
      << (Fault ? Fault.message() : ListenFault.message());
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

void mesh::impl::dialDue(base::boot_time Now) {
  Addresses.expire(Now);
  for (const base::endpoint &Address : Addresses.due(Now)) {
    if (isConnectedTo(Address))
      Addresses.connected(Address, Now);
    else if (!isConnectedToAlias(Address))
      dial(Address, Now);
  }
}

void mesh::impl::dial(const base::endpoint &Address, base::boot_time Now) {
  websocketpp::lib::error_code Fault;
  const websocket_ptr Socket =
      Client.get_connection("ws://" + base::toString(Address) + Path, Fault);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Counters.Dials;
  }
  if (Fault) {
    Addresses.failed(Address, Now);
    return;
  }
  Addresses.dialled(Address);
  connection &New = Connections[Socket.get()];
  New.Socket = Socket;
  New.Dialled = true;
  New.DialledAddress = Address;
  Client.connect(Socket);
}

mesh::impl::connection *mesh::impl::find(connection_hdl Handle) {
  websocketpp::lib::error_code Fault;
  const auto Socket = Server.get_con_from_hdl(std::move(Handle), Fault);
  const auto Found = Connections.find(Socket.get());
  return Found == Connections.end() ? nullptr : &Found->second;
}

void mesh::impl::onAccepted(connection_hdl Handle) {
  websocketpp::lib::error_code Fault;
  const auto Socket = Server.get_con_from_hdl(std::move(Handle), Fault);
  const auto Accepted = static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Each) { return !Each.second.Dialled; }));
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

void mesh::impl::onEnd(connection_hdl Handle) {
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
    ++Generation;
    Requests.failMember(Ended.Peer);
    publish();
  }
  const auto Now = base::boot_clock::now();
  if (WasInUse)
    Addresses.failed(Ended.PeerAddress, Now);
  const bool Counted = WasInUse && Ended.DialledAddress == Ended.PeerAddress;
  if (Ended.Dialled && !Counted && !isConnectedTo(Ended.DialledAddress))
    Addresses.failed(Ended.DialledAddress, Now);
  if (Ended.Open)
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++(Ended.Dialled ? Counters.DialsFailed : Counters.HandshakesFailed);
}

void mesh::impl::countProtocolError(const websocket &Socket) {
  namespace fault = websocketpp::processor::error;
  const websocketpp::lib::error_code Fault = Socket.get_ec();
  if (Fault.category() != fault::get_processor_category())
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Fault == fault::make_error_code(fault::message_too_big))
    ++Counters.Oversized;
  else
    ++Counters.Malformed;
}

/// Ends a connection at once. The connection is invalid afterwards.
void mesh::impl::drop(connection &Connection) {
  const websocket_ptr Socket = Connection.Socket;
  Socket->terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
}

/// At most one line a second, so that a faulty peer cannot fill the log.
bool mesh::impl::mayLogFault(base::boot_time Now) {
  if (Now < NextLog)
    return false;
  NextLog = Now + std::chrono::seconds(1);
  return true;
}

/// Ends a connection for what the peer sent. The connection is invalid
/// afterwards.
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
  std::vector<websocket_ptr> Silent;
  for (const auto &[Key, Each] : Connections) {
    if (!Each.Open)
      continue;
    if (Each.Peer == base::incarnation_id() && Now >= Each.HelloDeadline)
      NoHello.push_back(Each.Socket);
    else if (Now >= Each.LastReceived + Settings.SilenceTimeout)
      Silent.push_back(Each.Socket);
  }
  for (const websocket_ptr &Socket : NoHello)
    refuse(Connections.at(Socket.get()), "no hello in time");
  for (const websocket_ptr &Socket : Silent) {
    SKYLARKDYKE_LOG(WARNING, PeerSilent) << Socket->get_remote_endpoint();
    drop(Connections.at(Socket.get()));
  }
}

} // namespace skylarkdyke::entries
