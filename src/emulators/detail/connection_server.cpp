#include "emulators/detail/connection_server.hpp"

#include "skylarkdyke/base/clock.hpp"

#include <arpa/inet.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace skylarkdyke::emulators::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Interval at which the accepting thread looks for a stop or a crash.
static constexpr std::chrono::milliseconds PollInterval{20};
static constexpr int Backlog = 256;
/// A flood waits for the close after this many bytes, so that a client without
/// a bound cannot exhaust the machine.
static constexpr std::size_t MaxFloodBytes = std::size_t{64} << 20U;
/// Bytes of one write of a flood without pauses.
static constexpr std::size_t FloodWriteBytes = 16384;

struct connection_server::impl {
  impl(base::endpoint Listen, handler Handler)
      : Address(std::move(Listen)), Handler(std::move(Handler)) {}

  bool openListener();
  void acceptLoop();
  void acceptOne();
  void serve(int Socket);
  bool serveRequests(asio::ip::tcp::socket &Stream);
  void resetConnections();

  base::endpoint Address;
  handler Handler;
  std::thread Accepting;
  std::mutex Mutex;
  std::condition_variable ConnectionEnded;
  int Listener = -1;
  std::set<int> Connections;
  base::boot_time DownUntil;
  bool Stopping = false;
};

bool connection_server::impl::openListener() {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Bind{};
  Bind.sin_family = AF_INET;
  Bind.sin_port = htons(Address.Port);
  if (inet_pton(AF_INET, Address.Address.c_str(), &Bind.sin_addr) != 1 ||
      bind(Socket, reinterpret_cast<sockaddr *>(&Bind), sizeof(Bind)) != 0 ||
      listen(Socket, Backlog) != 0) {
    close(Socket);
    return false;
  }
  Listener = Socket;
  return true;
}

void connection_server::impl::acceptLoop() {
  while (true) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      const bool Down = base::boot_clock::now() < DownUntil;
      if ((Stopping || Down) && Listener >= 0) {
        close(Listener);
        Listener = -1;
      }
      if (Stopping)
        return;
      if (!Down && Listener < 0)
        openListener();
    }
    if (Listener < 0) {
      std::this_thread::sleep_for(PollInterval);
      continue;
    }
    pollfd Wait{Listener, POLLIN, 0};
    if (poll(&Wait, 1, static_cast<int>(PollInterval.count())) > 0)
      acceptOne();
  }
}

void connection_server::impl::acceptOne() {
  const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (Socket < 0)
    return;
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Stopping || base::boot_clock::now() < DownUntil) {
    close(Socket);
    return;
  }
  Connections.insert(Socket);
  std::thread([this, Socket] { serve(Socket); }).detach();
}

void connection_server::impl::serve(int Socket) {
  asio::io_context Io;
  asio::ip::tcp::socket Stream(Io);
  error_code Ignored;
  Stream.assign(asio::ip::tcp::v4(), Socket, Ignored);
  while (serveRequests(Stream)) {
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  // The number is forgotten before the socket is closed, so that a crash cannot
  // reset another socket that reuses it.
  Connections.erase(Socket);
  Stream.close(Ignored);
  ConnectionEnded.notify_all();
}

static http::request
toRequest(const beast::http::request<beast::http::string_body> &Message) {
  http::request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers[std::string(Field.name_string())] =
        std::string(Field.value());
  Request.Body = Message.body();
  return Request;
}

static std::string serialize(const http::response &Response) {
  beast::http::response<beast::http::string_body> Message(
      static_cast<beast::http::status>(Response.Status), 11);
  for (const auto &[Name, Value] : Response.Headers)
    Message.set(Name, Value);
  Message.body() = Response.Body;
  Message.prepare_payload();
  std::ostringstream Text;
  Text << Message;
  return Text.str();
}

/// Sends a flood until the peer or a crash closes the connection.
static void sendFlood(asio::ip::tcp::socket &Stream, const flood &Flood) {
  error_code Failure;
  asio::write(Stream, asio::buffer(Flood.Prefix), Failure);
  std::string Units = Flood.Unit;
  while (!Units.empty() && Flood.Pause.count() == 0 &&
         Units.size() < FloodWriteBytes)
    Units += Flood.Unit;
  std::size_t Sent = 0;
  while (!Failure && !Units.empty() && Sent < MaxFloodBytes) {
    Sent += asio::write(Stream, asio::buffer(Units), Failure);
    if (Flood.Pause.count() > 0)
      std::this_thread::sleep_for(Flood.Pause);
  }
  char Ignored = 0;
  while (!Failure)
    Stream.read_some(asio::buffer(&Ignored, 1), Failure);
}

/// Serves one request. Returns whether the connection stays open.
bool connection_server::impl::serveRequests(asio::ip::tcp::socket &Stream) {
  beast::flat_buffer Buffer;
  beast::http::request<beast::http::string_body> Message;
  error_code Failure;
  beast::http::read(Stream, Buffer, Message, Failure);
  if (Failure)
    return false;
  const reply Reply = Handler(toRequest(Message), Stream.native_handle());
  if (Reply.Form == reply::form::CloseWithoutAnswer)
    return false;
  if (Reply.Form == reply::form::Flood) {
    sendFlood(Stream, Reply.Flood);
    return false;
  }
  std::string Text = serialize(Reply.Response);
  if (Reply.Form == reply::form::Truncated)
    Text.resize(Text.size() - Reply.Response.Body.size() / 2 - 1);
  asio::write(Stream, asio::buffer(Text), Failure);
  return !Failure && Reply.Form == reply::form::Whole && Message.keep_alive();
}

void connection_server::impl::resetConnections() {
  const linger Reset{1, 0};
  for (const int Socket : Connections) {
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
    shutdown(Socket, SHUT_RDWR);
  }
}

connection_server::connection_server(base::endpoint Listen, handler Handler)
    : Impl(std::make_unique<impl>(std::move(Listen), std::move(Handler))) {}

connection_server::~connection_server() { stop(); }

bool connection_server::start() {
  if (!Impl->openListener())
    return false;
  Impl->Accepting = std::thread([this] { Impl->acceptLoop(); });
  return true;
}

void connection_server::stop() {
  if (!Impl->Accepting.joinable())
    return;
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopping = true;
    Impl->resetConnections();
  }
  Impl->Accepting.join();
  std::unique_lock<std::mutex> Lock(Impl->Mutex);
  Impl->ConnectionEnded.wait(Lock,
                             [this] { return Impl->Connections.empty(); });
}

void connection_server::crash(std::chrono::milliseconds DownTime) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->DownUntil = base::boot_clock::now() + DownTime;
  // The listener stops before the connections are reset, so that whoever sees a
  // reset finds new connections refused.
  if (Impl->Listener >= 0)
    shutdown(Impl->Listener, SHUT_RD);
  Impl->resetConnections();
}

} // namespace skylarkdyke::emulators::detail
