#include "skylarkdyke/targets/connection_pool.hpp"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace skylarkdyke::targets {

namespace {

struct idle_connection {
  http::connection Connection;
  base::boot_time CloseAt;
};

struct peer_state {
  /// Ordered by CloseAt, the most recently used connection last.
  std::vector<idle_connection> Idle;
  unsigned InUse = 0;
};

} // namespace

struct connection_pool::impl {
  explicit impl(pool_limits Limits) : Limits(Limits) {}

  unsigned limitOf(const base::endpoint &Peer) const {
    const auto Found = MaxConnections.find(Peer);
    return Found == MaxConnections.end() ? Limits.DefaultConnections
                                         : std::max(1U, Found->second);
  }

  std::optional<http::connection> takeIdle(peer_state &Peer);
  void returnConnection(const base::endpoint &Address,
                        std::optional<http::connection> Connection);

  pool_limits Limits;
  mutable std::mutex Mutex;
  std::map<base::endpoint, unsigned> MaxConnections;
  std::map<base::endpoint, peer_state> Peers;
};

struct connection_pool::lease::state {
  std::shared_ptr<impl> Pool;
  base::endpoint Peer;
  std::optional<http::connection> Connection;
  bool Reused = false;
};

std::optional<http::connection>
connection_pool::impl::takeIdle(peer_state &Peer) {
  const base::boot_time Now = base::boot_clock::now();
  while (!Peer.Idle.empty()) {
    idle_connection Last = std::move(Peer.Idle.back());
    Peer.Idle.pop_back();
    if (Last.CloseAt > Now && Last.Connection.isReusable())
      return std::move(Last.Connection);
  }
  return std::nullopt;
}

void connection_pool::impl::returnConnection(
    const base::endpoint &Address, std::optional<http::connection> Connection) {
  const bool IsReusable = Connection && Connection->isReusable();
  const std::lock_guard<std::mutex> Lock(Mutex);
  peer_state &Peer = Peers[Address];
  --Peer.InUse;
  if (IsReusable && Peer.Idle.size() + Peer.InUse < limitOf(Address))
    Peer.Idle.push_back(
        {std::move(*Connection), base::boot_clock::now() + Limits.IdleTimeout});
  else if (Peer.InUse == 0 && Peer.Idle.empty())
    Peers.erase(Address);
}

connection_pool::lease::lease(std::unique_ptr<state> State)
    : State(std::move(State)) {}
connection_pool::lease::lease(lease &&) noexcept = default;

connection_pool::lease &
connection_pool::lease::operator=(lease &&Other) noexcept {
  std::swap(State, Other.State);
  return *this;
}

connection_pool::lease::~lease() {
  if (State)
    State->Pool->returnConnection(State->Peer, std::move(State->Connection));
}

base::result<http::response, http::exchange_error>
connection_pool::lease::exchange(const http::request &Request,
                                 const http::exchange_limits &Limits) {
  if (!State->Connection)
    return http::exchange_error{http::exchange_fault::ConnectRefused, true};
  return State->Connection->exchange(Request, Limits);
}

void connection_pool::lease::discard() { State->Connection.reset(); }

bool connection_pool::lease::isReused() const noexcept { return State->Reused; }

connection_pool::connection_pool(pool_limits Limits)
    : Impl(std::make_shared<impl>(Limits)) {}
connection_pool::~connection_pool() = default;

void connection_pool::configure(
    std::map<base::endpoint, unsigned> MaxConnections) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->MaxConnections = std::move(MaxConnections);
  for (auto Position = Impl->Peers.begin(); Position != Impl->Peers.end();) {
    if (Impl->MaxConnections.count(Position->first) == 0)
      Position->second.Idle.clear();
    if (Position->second.Idle.empty() && Position->second.InUse == 0)
      Position = Impl->Peers.erase(Position);
    else
      ++Position;
  }
}

base::result<connection_pool::lease, http::exchange_error>
connection_pool::acquire(const base::endpoint &Peer, base::boot_time Deadline) {
  auto State = std::make_unique<lease::state>();
  State->Pool = Impl;
  State->Peer = Peer;
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    peer_state &PeerState = Impl->Peers[Peer];
    State->Connection = Impl->takeIdle(PeerState);
    if (!State->Connection &&
        PeerState.Idle.size() + PeerState.InUse >= Impl->limitOf(Peer))
      return http::exchange_error{http::exchange_fault::ConnectionLimit, true};
    ++PeerState.InUse;
  }
  State->Reused = State->Connection.has_value();
  lease Lease(std::move(State));
  if (!Lease.isReused()) {
    auto Opened = http::connection::open(Peer, Deadline);
    if (!Opened)
      return Opened.error();
    Lease.State->Connection = std::move(Opened.value());
  }
  return Lease;
}

void connection_pool::closeIdle(base::boot_time Now) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  for (auto Position = Impl->Peers.begin(); Position != Impl->Peers.end();) {
    auto &Idle = Position->second.Idle;
    const auto FirstToKeep = std::find_if(
        Idle.begin(), Idle.end(), [Now](const idle_connection &Candidate) {
          return Candidate.CloseAt > Now;
        });
    Idle.erase(Idle.begin(), FirstToKeep);
    if (Idle.empty() && Position->second.InUse == 0)
      Position = Impl->Peers.erase(Position);
    else
      ++Position;
  }
}

std::size_t connection_pool::openConnections(const base::endpoint &Peer) const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  const auto Found = Impl->Peers.find(Peer);
  return Found == Impl->Peers.end()
             ? 0
             : Found->second.Idle.size() + Found->second.InUse;
}

std::size_t connection_pool::idleConnections(const base::endpoint &Peer) const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  const auto Found = Impl->Peers.find(Peer);
  return Found == Impl->Peers.end() ? 0 : Found->second.Idle.size();
}

} // namespace skylarkdyke::targets
