#include "store/detail/connection_pool.hpp"

#include <algorithm>

namespace skylarkdyke::store::detail {

using namespace std::chrono_literals;

static constexpr std::size_t MaxIdle = 4;
// Servers close idle connections, and a write on a connection that is being
// closed would end with an unknown effect. The limit exceeds the 5 s between
// seat renewals, so that these reuse their connection.
static constexpr auto MaxIdleTime = 15s;
// Connecting to an address that drops packets must not use up the time of a
// whole watch.
static constexpr auto MaxConnectTime = 500ms;

connection_pool::connection_pool(base::endpoint Peer) : Peer(std::move(Peer)) {}

std::optional<http::connection> connection_pool::takeIdle() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const base::boot_time MinIdleSince = base::boot_clock::now() - MaxIdleTime;
  while (!Idle.empty()) {
    idle_connection Candidate = std::move(Idle.back());
    Idle.pop_back();
    if (Candidate.IdleSince >= MinIdleSince)
      return std::move(Candidate.Connection);
  }
  return std::nullopt;
}

void connection_pool::keepIdle(http::connection Connection) {
  if (!Connection.isReusable())
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Idle.size() < MaxIdle)
    Idle.push_back({std::move(Connection), base::boot_clock::now()});
}

base::result<http::response, http::exchange_error>
connection_pool::exchange(const http::request &Request,
                          const http::exchange_limits &Limits,
                          bool IsIdempotent) {
  if (auto Reused = takeIdle()) {
    auto Response = Reused->exchange(Request, Limits);
    if (Response) {
      keepIdle(std::move(*Reused));
      return Response;
    }
    const http::exchange_error Error = Response.error();
    if (Error.Fault != http::exchange_fault::ClosedWithoutAnswer ||
        !(Error.NothingSent || IsIdempotent))
      return Error;
  }
  auto Connection = http::connection::open(
      Peer,
      std::min(Limits.Deadline, base::boot_clock::now() + MaxConnectTime));
  if (!Connection)
    return Connection.error();
  ++Opened;
  auto Response = Connection.value().exchange(Request, Limits);
  if (Response)
    keepIdle(std::move(Connection).value());
  return Response;
}

} // namespace skylarkdyke::store::detail
