#include "store/detail/kept_connections.hpp"

#include <algorithm>

namespace skylarkdyke::store::detail {

using namespace std::chrono_literals;

static constexpr std::size_t MaxIdle = 4;
// Servers close idle connections; a write that meets the closing one would end
// with an unknown effect. The seat renewal uses its connection every 5 s.
static constexpr auto MaxIdleTime = 15s;
// An address that drops packets must not use up the time of a whole watch.
static constexpr auto MaxConnectTime = 500ms;

kept_connections::kept_connections(base::endpoint Peer)
    : Peer(std::move(Peer)) {}

std::optional<http::connection> kept_connections::take() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const base::boot_time Oldest = base::boot_clock::now() - MaxIdleTime;
  while (!Idle.empty()) {
    kept Kept = std::move(Idle.back());
    Idle.pop_back();
    if (Kept.IdleSince >= Oldest)
      return std::move(Kept.Connection);
  }
  return std::nullopt;
}

void kept_connections::give(http::connection Connection) {
  if (!Connection.isReusable())
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Idle.size() < MaxIdle)
    Idle.push_back({std::move(Connection), base::boot_clock::now()});
}

base::result<http::response, http::exchange_error>
kept_connections::exchange(const http::request &Request,
                           const http::exchange_limits &Limits,
                           bool IsRepeatable) {
  if (auto Kept = take()) {
    auto Response = Kept->exchange(Request, Limits);
    if (Response) {
      give(std::move(*Kept));
      return Response;
    }
    const http::exchange_error Error = Response.error();
    if (Error.Fault != http::exchange_fault::ClosedWithoutAnswer ||
        !(Error.NothingSent || IsRepeatable))
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
    give(std::move(Connection).value());
  return Response;
}

} // namespace skylarkdyke::store::detail
