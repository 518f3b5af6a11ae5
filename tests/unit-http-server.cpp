#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/http/server.hpp"
#include "support/free_port.hpp"
#include "support/wait_until.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <fcntl.h>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>
// Behind the others: it replaces new by a macro.

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(http_server) {
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::unique_ptr<http::server> Server;
  http::response Answer;

  void setup() override {
    http::server_limits Limits;
    Limits.MaxBodyBytes = 8;
    Server = std::make_unique<http::server>(
        Address, Limits,
        [this](const http::server_request &) { return Answer; });
    CHECK_TRUE(Server->start());
  }

  http::response ask(const std::string &Body) const {
    http::request Request;
    Request.Method = "POST";
    Request.Body = Body;
    const auto Got =
        http::fetch(Address, Request, {base::boot_clock::now() + 2s, 1024, -1});
    CHECK_TRUE(Got.has_value());
    return Got.value();
  }
};

// Guards against ulfius answering 200 when the handler's response has no body.
TEST(http_server, KeepsTheStatusOfAnEmptyResponse) {
  Answer.Status = 404;
  CHECK_EQUAL(404, ask("").Status);
}

// Guards against ulfius cutting a body that is too large and handing on the
// rest.
TEST(http_server, RefusesABodyOverTheLimit) {
  CHECK_EQUAL(200, ask("12345678").Status);
  CHECK_EQUAL(413, ask("123456789").Status);
}

namespace {

sockaddr_in toSocketAddress(const base::endpoint &Endpoint) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Endpoint.Port);
  inet_pton(AF_INET, Endpoint.Address.c_str(), &Address.sin_addr);
  return Address;
}

/// Connection of a client whose own port is given.
class bound_client {
public:
  bound_client(std::uint16_t Port, const base::endpoint &To)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const timeval Limit{5, 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in From = toSocketAddress({"127.0.0.1", Port});
    const sockaddr_in Peer = toSocketAddress(To);
    Connected = bind(Socket, reinterpret_cast<const sockaddr *>(&From),
                     sizeof(From)) == 0 &&
                connect(Socket, reinterpret_cast<const sockaddr *>(&Peer),
                        sizeof(Peer)) == 0;
  }
  ~bound_client() { close(Socket); }
  bound_client(const bound_client &) = delete;
  bound_client &operator=(const bound_client &) = delete;

  void send(const std::string &Path) const {
    const std::string Text = "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
  }

  /// Sends a request and reads the head of its answer.
  bool ask(const std::string &Path) const {
    send(Path);
    std::string Head;
    char Next = 0;
    while (Head.find("\r\n\r\n") == std::string::npos &&
           recv(Socket, &Next, 1, 0) == 1)
      Head += Next;
    return Head.rfind("HTTP/1.1 204", 0) == 0;
  }

  /// Makes the closing reset the connection, which frees the port at once.
  void resetOnClose() const {
    const linger Reset{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  }

  bool Connected = false;

private:
  int Socket;
};

bool isConnectedTo(int Socket, const base::endpoint &Client) {
  sockaddr_in Peer{};
  socklen_t Size = sizeof(Peer);
  return getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Size) == 0 &&
         ntohs(Peer.sin_port) == Client.Port;
}

} // namespace

TEST_GROUP(http_server_sockets) {
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::atomic<int> HeldSocket{-1};
  std::atomic<bool> Release{false};
  std::atomic<bool> SocketIsRight{false};
  // Last, so that its handlers end before what they use.
  std::unique_ptr<http::server> Server;

  void setup() override {
    Server = std::make_unique<http::server>(
        Address, http::server_limits(),
        [this](const http::server_request &Request) {
          SocketIsRight = isConnectedTo(Request.Socket, Request.Client);
          if (Request.Path == "/hold") {
            HeldSocket = Request.Socket;
            test_support::eventually([this] { return Release.load(); });
          }
          http::response Answer;
          Answer.Status = 204;
          return Answer;
        });
    CHECK_TRUE(Server->start());
  }

  void teardown() override {
    Release = true;
    Server.reset();
  }
};

// Guards against the end of a connection taking the socket from another one
// that its client has opened from the same port meanwhile: the entry would no
// longer see that this caller leaves.
TEST(http_server_sockets, KeepsTheSocketOfAConnectionFromTheSamePort) {
  const std::uint16_t Port = test_support::freePort();
  auto Old = std::make_unique<bound_client>(Port, Address);
  CHECK_TRUE(Old->Connected);
  Old->send("/hold");
  CHECK_TRUE(test_support::eventually([this] { return HeldSocket >= 0; }));
  Old->resetOnClose();
  Old.reset();
  const bound_client New(Port, Address);
  CHECK_TRUE(New.Connected);
  CHECK_TRUE(New.ask("/"));
  CHECK_TRUE(SocketIsRight);
  Release = true;
  CHECK_TRUE(test_support::eventually(
      [this] { return fcntl(HeldSocket, F_GETFD) == -1; }));
  CHECK_TRUE(New.ask("/"));
  CHECK_TRUE(SocketIsRight);
}
