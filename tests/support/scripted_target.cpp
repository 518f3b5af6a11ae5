#include "support/scripted_target.hpp"

#include "support/free_port.hpp"

#include <arpa/inet.h>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cstdlib>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace test_support {

using skylarkdyke::base::endpoint;

static constexpr const char *HeaderEnd = "\r\n\r\n";
/// Receive buffer of connections on which bodies are not read.
static constexpr int SmallReceiveBuffer = 4096;

std::string scripted_request::field(const std::string &Name) const {
  std::size_t From = Header.find("\r\n");
  while (From != std::string::npos && From + 2 < Header.size()) {
    From += 2;
    const std::size_t End = Header.find("\r\n", From);
    const std::string Line = Header.substr(From, End - From);
    const std::size_t Colon = Line.find(": ");
    if (Colon != std::string::npos &&
        boost::beast::iequals(Line.substr(0, Colon), Name))
      return Line.substr(Colon + 2);
    From = End;
  }
  return {};
}

std::size_t scripted_request::bodyLength() const {
  return std::strtoul(field("Content-Length").c_str(), nullptr, 10);
}

std::string scripted_request::path() const {
  const std::size_t From = Header.find(' ') + 1;
  return Header.substr(From, Header.find(' ', From) - From);
}

void scripted_request::send(const std::string &Bytes) const {
  [[maybe_unused]] const ssize_t Sent =
      ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

void scripted_request::sendWithoutEnd(const std::string &Bytes) const {
  while (::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0)
    continue;
}

void scripted_request::endSending() const { shutdown(Socket, SHUT_WR); }

void scripted_request::close() const { shutdown(Socket, SHUT_RDWR); }

void scripted_request::reset() const {
  // A connection to an unspecified address ends the present one with a reset.
  sockaddr Unspecified{};
  Unspecified.sa_family = AF_UNSPEC;
  [[maybe_unused]] const int Failure =
      connect(Socket, &Unspecified, sizeof(Unspecified));
}

struct scripted_target::impl {
  void accept();
  void serve(int Socket);
  bool readRequest(int Socket, std::string &Buffer, std::string &Header) const;

  endpoint Address{"127.0.0.1", freePort()};
  handler OnRequest;
  answer_time Time = answer_time::AfterBody;
  int Listener = -1;
  mutable std::mutex Mutex;
  std::map<std::string, int> Received;
  std::vector<int> Sockets;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// Reads a request, with its body if that comes before the answer.
bool scripted_target::impl::readRequest(int Socket, std::string &Buffer,
                                        std::string &Header) const {
  std::array<char, 4096> Part{};
  std::size_t Needed = std::string::npos;
  for (;;) {
    const std::size_t End = Buffer.find(HeaderEnd);
    if (End != std::string::npos && Needed == std::string::npos) {
      Header = Buffer.substr(0, End + 2);
      Needed = End + 4;
      if (Time == answer_time::AfterBody)
        Needed += scripted_request(Socket, Header, 0).bodyLength();
    }
    if (Buffer.size() >= Needed) {
      Buffer.erase(0, Needed);
      return true;
    }
    const ssize_t Count = recv(Socket, Part.data(), Part.size(), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Part.data(), static_cast<std::size_t>(Count));
  }
}

void scripted_target::impl::serve(int Socket) {
  std::string Buffer;
  std::string Header;
  for (unsigned Number = 0; readRequest(Socket, Buffer, Header); ++Number) {
    const scripted_request Request(Socket, Header, Number);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Received[Request.path()];
    }
    OnRequest(Request);
    if (Time == answer_time::AfterHeader && Request.bodyLength() > 0)
      return;
  }
}

void scripted_target::impl::accept() {
  for (;;) {
    const int Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      return;
    const int One = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    const std::lock_guard<std::mutex> Lock(Mutex);
    Sockets.push_back(Socket);
    Threads.emplace_back([this, Socket] { serve(Socket); });
  }
}

scripted_target::scripted_target(handler OnRequest, answer_time Time)
    : Impl(std::make_unique<impl>()) {
  Impl->OnRequest = std::move(OnRequest);
  Impl->Time = Time;
  Impl->Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Impl->Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  if (Time == answer_time::AfterHeader)
    setsockopt(Impl->Listener, SOL_SOCKET, SO_RCVBUF, &SmallReceiveBuffer,
               sizeof(SmallReceiveBuffer));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Impl->Address.Port);
  inet_pton(AF_INET, Impl->Address.Address.c_str(), &Address.sin_addr);
  if (bind(Impl->Listener, reinterpret_cast<sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Impl->Listener, SOMAXCONN) != 0)
    std::abort();
  Impl->Acceptor = std::thread([this] { Impl->accept(); });
}

scripted_target::~scripted_target() {
  shutdown(Impl->Listener, SHUT_RDWR);
  Impl->Acceptor.join();
  close(Impl->Listener);
  for (const int Socket : Impl->Sockets)
    shutdown(Socket, SHUT_RDWR);
  for (std::thread &Thread : Impl->Threads)
    Thread.join();
  for (const int Socket : Impl->Sockets)
    close(Socket);
}

const endpoint &scripted_target::address() const { return Impl->Address; }

int scripted_target::received(const std::string &Path) const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  const auto Found = Impl->Received.find(Path);
  return Found == Impl->Received.end() ? 0 : Found->second;
}

int scripted_target::connections() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return static_cast<int>(Impl->Sockets.size());
}

} // namespace test_support
