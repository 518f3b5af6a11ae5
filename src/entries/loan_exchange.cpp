#include "skylarkdyke/entries/loan_exchange.hpp"

#include <map>

namespace skylarkdyke::entries {

using namespace std::chrono_literals;

static constexpr auto AskPeriod = 250ms;
/// A loan is renewed before LoanLength has passed; after twice that time its
/// lender is not looked up any more.
static constexpr auto LenderMemory = 2 * caps::LoanLength;

struct loan_exchange::impl {
  struct lender {
    base::incarnation_id Peer;
    base::boot_time ForgetAt;
  };

  impl(mesh &Mesh, guarded_ledger &Ledger) : Mesh(Mesh), Ledger(Ledger) {}

  void ask();
  base::incarnation_id choosePeer(const std::vector<base::incarnation_id> &,
                                  const caps::loan_request &Request,
                                  std::map<caps::cap_id, std::size_t> &Asked);
  void lend(const member &From, const caps::loan_request &Request);
  void borrow(const caps::loan_grant &Grant);
  void count(std::uint64_t loan_exchange_counters::*Counter);

  mesh &Mesh;
  guarded_ledger &Ledger;

  mutable std::mutex Mutex;
  loan_exchange_counters Counters;

  // Of the mesh thread.
  /// Peers by the id of the request that they were sent.
  std::map<std::uint64_t, lender> Lenders;
  std::size_t Turn = 0;
};

void loan_exchange::impl::count(
    std::uint64_t loan_exchange_counters::*Counter) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++(Counters.*Counter);
}

void loan_exchange::impl::ask() {
  // A leaving member gives its seat back soon, and must not have lent it.
  std::vector<base::incarnation_id> Peers;
  for (const member &Each : Mesh.members())
    if (Each.Reachable && !Each.Leaving)
      Peers.push_back(Each.Incarnation);
  std::vector<caps::loan_request> Requests;
  base::boot_time Now;
  {
    const std::lock_guard<std::mutex> Lock(Ledger.Mutex);
    Now = base::boot_clock::now();
    Requests = Ledger.Ledger.wantedLoans(Peers.size(), Now);
  }
  for (auto Each = Lenders.begin(); Each != Lenders.end();)
    Each = Now >= Each->second.ForgetAt ? Lenders.erase(Each) : std::next(Each);
  if (Peers.empty())
    return;
  ++Turn;
  std::map<caps::cap_id, std::size_t> Asked;
  for (const caps::loan_request &Request : Requests) {
    const base::incarnation_id Peer = choosePeer(Peers, Request, Asked);
    Lenders[Request.RequestId] = {Peer, Now + LenderMemory};
    if (Mesh.send(Peer, Request))
      count(&loan_exchange_counters::Asked);
  }
}

/// A renewal goes to the peer that granted the loan, the other requests for one
/// cap to different peers, beginning with another one each time.
base::incarnation_id
loan_exchange::impl::choosePeer(const std::vector<base::incarnation_id> &Peers,
                                const caps::loan_request &Request,
                                std::map<caps::cap_id, std::size_t> &Asked) {
  const auto Known = Lenders.find(Request.Renews);
  if (Request.Renews != 0 && Known != Lenders.end())
    for (const base::incarnation_id Peer : Peers)
      if (Peer == Known->second.Peer)
        return Peer;
  return Peers[(Turn + Asked[Request.Cap]++) % Peers.size()];
}

void loan_exchange::impl::lend(const member &From,
                               const caps::loan_request &Request) {
  std::optional<caps::loan_grant> Grant;
  {
    const std::lock_guard<std::mutex> Lock(Ledger.Mutex);
    Grant = Ledger.Ledger.lend(Request, base::boot_clock::now());
  }
  if (!Grant) {
    count(&loan_exchange_counters::NotLent);
    return;
  }
  Mesh.send(From.Incarnation, *Grant);
  count(&loan_exchange_counters::Lent);
}

void loan_exchange::impl::borrow(const caps::loan_grant &Grant) {
  bool Accepted = false;
  {
    const std::lock_guard<std::mutex> Lock(Ledger.Mutex);
    Accepted = Ledger.Ledger.borrow(Grant, base::boot_clock::now());
  }
  count(Accepted ? &loan_exchange_counters::Borrowed
                 : &loan_exchange_counters::Ignored);
}

loan_exchange::loan_exchange(mesh &Mesh, guarded_ledger &Ledger)
    : Impl(std::make_unique<impl>(Mesh, Ledger)) {
  impl &Exchange = *Impl;
  Mesh.every(AskPeriod, [&Exchange] { Exchange.ask(); });
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
