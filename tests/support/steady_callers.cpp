#include "support/steady_callers.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdlib>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace test_support {

using skylarkdyke::base::endpoint;

int connectTo(const endpoint &Peer) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Timeout{10, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  inet_pton(AF_INET, Peer.Address.c_str(), &Address.sin_addr);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

bool sendBytes(int Socket, const std::string &Bytes) {
  return send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

caller_result readResponse(int Socket, std::string &Buffer) {
  std::array<char, 4096> Part{};
  for (;;) {
    const std::size_t End = Buffer.find("\r\n\r\n");
    const std::size_t Length = Buffer.find("Content-Length: ");
    if (End != std::string::npos && Length < End) {
      const std::size_t Size =
          End + 4 + std::strtoul(Buffer.c_str() + Length + 16, nullptr, 10);
      if (Buffer.size() >= Size) {
        const bool Closes = Buffer.find("Connection: close") < End;
        const bool HasRetryAfter = Buffer.find("Retry-After: ") < End;
        const auto Status =
            static_cast<int>(std::strtol(Buffer.c_str() + 9, nullptr, 10));
        Buffer.erase(0, Size);
        return {request_end::Answered, Status, Closes, HasRetryAfter};
      }
    }
    const ssize_t Count = recv(Socket, Part.data(), Part.size(), 0);
    const bool TimedOut =
        Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (Count <= 0)
      return {Buffer.empty() && !TimedOut ? request_end::Closed
                                          : request_end::Broken};
    Buffer.append(Part.data(), static_cast<std::size_t>(Count));
  }
}

steady_callers::steady_callers(endpoint Front, int Count, std::string IdPrefix,
                               request_maker MakeRequest)
    : Front(std::move(Front)), IdPrefix(std::move(IdPrefix)),
      MakeRequest(std::move(MakeRequest)) {
  for (int Caller = 0; Caller < Count; ++Caller)
    Threads.emplace_back([this, Caller] { run(Caller); });
}

steady_callers::~steady_callers() { stop(); }

void steady_callers::stop() {
  Stopped = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void steady_callers::run(int Caller) {
  const bool KeepsConnection = Caller % 2 == 0;
  int Socket = -1;
  std::string Buffer;
  for (int Number = 0; !Stopped; ++Number) {
    if (Socket < 0)
      Socket = connectTo(Front);
    if (Socket < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      continue;
    }
    const std::string Id =
        IdPrefix + "-" + std::to_string(Caller) + "-" + std::to_string(Number);
    sendBytes(Socket, MakeRequest(Id));
    const caller_result Result = readResponse(Socket, Buffer);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Results[Id] = Result;
    }
    if (KeepsConnection && Result.End == request_end::Answered &&
        !Result.Closes)
      continue;
    close(Socket);
    Socket = -1;
    Buffer.clear();
  }
  if (Socket >= 0)
    close(Socket);
}

} // namespace test_support
