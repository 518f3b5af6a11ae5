#include "skylarkdyke/entries/loan_exchange.hpp"

#include <map>

namespace skylarkdyke::entries {

using namespace std::chrono_literals;

static constexpr auto RequestPeriod = 250ms;
/// Time for which the lender of a loan is stored. A loan is renewed before its
/// longest duration has passed, so the lender is not needed after twice that
/// time.
static constexpr auto LenderRetention = 2 * caps::MaxLoanDuration;

struct loan_exchange::impl {
  struct lender {
    base::incarnation_id Peer;
    base::boot_time ExpiresAt;
  };

  impl(mesh &Mesh, guarded_ledger &Ledger) : Mesh(Mesh), Ledger(Ledger) {}

  void requestLoans();
  base::incarnation_id
  choosePeer(const std::vector<base::incarnation_id> &,
             const caps::loan_request &Request,
             std::map<caps::cap_id, std::size_t> &RequestCounts);
  void lend(const member &From, const caps::loan_request &Request);
  void borrow(const caps::loan_grant &Grant);
  void count(std::uint64_t loan_exchange_counters::*Counter);

  mesh &Mesh;
  guarded_ledger &Ledger;

  mutable std::mutex Mutex;
  loan_exchange_counters Counters;

  // Used by the mesh thread only.
  /// Peers by the id of the loan request that was sent to them.
  std::map<std::uint64_t, lender> Lenders;
  /// Offset in the list of peers at which the current round of requests starts.
  std::size_t PeerOffset = 0;
};

void loan_exchange::impl::count(
    std::uint64_t loan_exchange_counters::*Counter) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++(Counters.*Counter);
}

void loan_exchange::impl::requestLoans() {
  // A leaving member releases its seat soon. No loans are requested from it,
  // because no part of the seat's share may be on loan when the seat is
  // released.
  std::vector<base::incarnation_id> Peers;
  for (const member &Member : Mesh.members())
    if (Member.Reachable && !Member.Leaving)
      Peers.push_back(Member.Incarnation);
  std::vector<caps::loan_request> Requests;
  base::boot_time Now;
  {
    const std::lock_guard<std::mutex> Lock(Ledger.Mutex);
    Now = base::boot_clock::now();
    Requests = Ledger.Ledger.createLoanRequests(Peers.size(), Now);
  }
  for (auto It = Lenders.begin(); It != Lenders.end();)
    It = Now >= It->second.ExpiresAt ? Lenders.erase(It) : std::next(It);
  if (Peers.empty())
    return;
  ++PeerOffset;
  std::map<caps::cap_id, std::size_t> RequestCounts;
  for (const caps::loan_request &Request : Requests) {
    const base::incarnation_id Peer = choosePeer(Peers, Request, RequestCounts);
    Lenders[Request.RequestId] = {Peer, Now + LenderRetention};
    if (Mesh.send(Peer, Request))
      count(&loan_exchange_counters::RequestsSent);
  }
}

/// Selects the peer for a loan request. A renewal goes to the peer that granted
/// the loan. Other requests for the same cap go to different peers in
/// round-robin order, and each round starts with another peer.
base::incarnation_id loan_exchange::impl::choosePeer(
    const std::vector<base::incarnation_id> &Peers,
    const caps::loan_request &Request,
    std::map<caps::cap_id, std::size_t> &RequestCounts) {
  const auto Lender = Lenders.find(Request.Renews);
  if (Request.Renews != 0 && Lender != Lenders.end())
    for (const base::incarnation_id Peer : Peers)
      if (Peer == Lender->second.Peer)
        return Peer;
  return Peers[(PeerOffset + RequestCounts[Request.Cap]++) % Peers.size()];
}

void loan_exchange::impl::lend(const member &From,
                               const caps::loan_request &Request) {
  std::optional<caps::loan_grant> Grant;
  {
    const std::lock_guard<std::mutex> Lock(Ledger.Mutex);
    Grant = Ledger.Ledger.lend(Request, base::boot_clock::now());
  }
  if (!Grant) {
    count(&loan_exchange_counters::RequestsDeclined);
    return;
  }
  Mesh.send(From.Incarnation, *Grant);
  count(&loan_exchange_counters::GrantsSent);
}

void loan_exchange::impl::borrow(const caps::loan_grant &Grant) {
  bool Accepted = false;
  {
    const std::lock_guard<std::mutex> Lock(Ledger.Mutex);
    Accepted = Ledger.Ledger.acceptGrant(Grant, base::boot_clock::now());
  }
  count(Accepted ? &loan_exchange_counters::GrantsAccepted
                 : &loan_exchange_counters::GrantsIgnored);
}

loan_exchange::loan_exchange(mesh &Mesh, guarded_ledger &Ledger)
    : Impl(std::make_unique<impl>(Mesh, Ledger)) {
  impl &Exchange = *Impl;
  Mesh.runPeriodically(RequestPeriod, [&Exchange] { Exchange.requestLoans(); });
  Mesh.onMessage<caps::loan_request>(
      [&Exchange](const member &From, const caps::loan_request &Request) {
        Exchange.lend(From, Request);
      });
  Mesh.onMessage<caps::loan_grant>(
      [&Exchange](const member &, const caps::loan_grant &Grant) {
        Exchange.borrow(Grant);
      });
}

loan_exchange::~loan_exchange() = default;

loan_exchange_counters loan_exchange::counters() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Counters;
}

} // namespace skylarkdyke::entries
