// Measures how much of a region's cap is unused under skewed load by three ways
// of sharing it among entries, and the cost of the share ledger.

#include "skylarkdyke/caps/share_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <random>
#include <unordered_map>

using namespace skylarkdyke;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seats = 10;
constexpr std::uint64_t CapPerSecond = 2000;
constexpr auto Tick = 100ms;
/// Ticks before the measurement, and the measured ticks: 60 s.
constexpr int WarmUpTicks = 100;
constexpr int MeasuredTicks = 600;
/// Part of the region's traffic at the busy entry; the others share the rest.
constexpr double BusyPart = 0.8;
const caps::cap_id Region = caps::region_cap{base::region_name("r0")};

config::document document(unsigned Regions, std::uint64_t Cap) {
  config::document Document;
  Document.EntrySeats = Seats;
  for (unsigned Index = 0; Index < Regions; ++Index)
    Document.Regions.push_back(
        {base::region_name("r" + std::to_string(Index)), Cap, {}});
  return Document;
}

/// Requests that arrive at each entry in one tick.
class load {
public:
  explicit load(std::uint64_t Seed, double OfCap)
      : Random(Seed), OfCap(OfCap) {}

  unsigned arrivals(unsigned Entry) {
    const double Part = Entry == 0 ? BusyPart : (1 - BusyPart) / (Seats - 1);
    const double PerTick = OfCap * CapPerSecond * Part *
                           std::chrono::duration<double>(Tick).count();
    return std::poisson_distribution<unsigned>(PerTick)(Random);
  }

private:
  std::mt19937_64 Random;
  double OfCap;
};

/// Decides whether an entry may send one request now.
using take_function = std::function<bool(unsigned Entry, base::boot_time Now)>;
using tick_function = std::function<void(base::boot_time Now)>;

/// \return the part of the headroom that was wasted: refused requests that
/// would have fitted under the cap, over the cap
double wasted(load Load, const take_function &TryTake,
              const tick_function &AtTick) {
  std::uint64_t Served = 0;
  std::uint64_t Offered = 0;
  base::boot_time Now{100s};
  for (int Index = 0; Index < WarmUpTicks + MeasuredTicks; ++Index) {
    AtTick(Now);
    std::vector<unsigned> Arrivals;
    for (unsigned Entry = 0; Entry < Seats; ++Entry)
      Arrivals.push_back(Load.arrivals(Entry));
    // Spread over the tick in 10 steps.
    for (unsigned Part = 0; Part < 10; ++Part, Now += Tick / 10)
      for (unsigned Entry = 0; Entry < Seats; ++Entry)
        for (unsigned Each = Part; Each < Arrivals[Entry]; Each += 10) {
          const bool Sent = TryTake(Entry, Now);
          if (Index >= WarmUpTicks) {
            ++Offered;
            Served += Sent ? 1 : 0;
          }
        }
  }
  const double Possible = CapPerSecond * MeasuredTicks *
                          std::chrono::duration<double>(Tick).count();
  const double Fitting = std::min(Possible, static_cast<double>(Offered));
  return std::max(0.0, Fitting - static_cast<double>(Served)) / Possible;
}

std::vector<caps::share_ledger> ledgers() {
  std::vector<caps::share_ledger> All;
  for (unsigned Entry = 0; Entry < Seats; ++Entry) {
    All.emplace_back(base::incarnation_id{Entry + 1});
    All.back().configure(document(1, CapPerSecond));
    All.back().holdSeatUntil(base::boot_time(1000h));
  }
  return All;
}

double wastedByStaticSplit(const load &Load) {
  auto All = ledgers();
  return wasted(
      Load,
      [&](unsigned Entry, base::boot_time Now) {
        return All[Entry].tryTake({{Region, 1}}, Now);
      },
      [](base::boot_time) {});
}

/// Ideal central store: every second it leases the whole cap in proportion to
/// the demand, without delay. After the given instant it is down, leases of 2 s
/// expire, and nothing may be sent.
double wastedByStoreLeases(const load &Load, base::boot_time DownFrom) {
  // A cap of Seats times the lease gives each ledger exactly its lease.
  auto All = ledgers();
  std::vector<std::uint64_t> Demand(Seats);
  base::boot_time LastLease{};
  const auto Lease = [&](base::boot_time Now) {
    if (Now >= DownFrom || Now - LastLease < 1s)
      return;
    LastLease = Now;
    // One more for each entry, so that an idle one has a small share too.
    std::uint64_t Sum = Seats;
    for (const std::uint64_t Each : Demand)
      Sum += Each;
    for (unsigned Entry = 0; Entry < Seats; ++Entry) {
      const std::uint64_t Share = CapPerSecond * (Demand[Entry] + 1) / Sum;
      All[Entry].configure(document(1, Share * Seats));
      All[Entry].holdSeatUntil(Now + 2s);
      Demand[Entry] = 0;
    }
  };
  return wasted(
      Load,
      [&](unsigned Entry, base::boot_time Now) {
        ++Demand[Entry];
        return All[Entry].tryTake({{Region, 1}}, Now);
      },
      Lease);
}

/// Loans as built. A message takes one tick.
double wastedByLoans(const load &Load, double LossPart, std::uint64_t Seed) {
  struct message {
    unsigned From, To;
    std::variant<caps::loan_request, caps::loan_grant> Content;
  };
  auto All = ledgers();
  std::vector<message> Network;
  std::unordered_map<std::uint64_t, unsigned> AskedPeer;
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Lost(LossPart);
  const auto Deliver = [&](const message &Message, base::boot_time Now) {
    if (Lost(Random))
      return;
    if (const auto *Grant = std::get_if<caps::loan_grant>(&Message.Content))
      All[Message.To].acceptGrant(*Grant, Now);
    else if (const auto Given = All[Message.To].lend(
                 std::get<caps::loan_request>(Message.Content), Now))
      Network.push_back({Message.To, Message.From, *Given});
  };
  const auto AtTick = [&](base::boot_time Now) {
    std::vector<message> Arrived;
    Arrived.swap(Network);
    for (const message &Each : Arrived)
      Deliver(Each, Now);
    for (unsigned Entry = 0; Entry < Seats; ++Entry) {
      unsigned Next = Entry;
      for (const auto &Each : All[Entry].createLoanRequests(Seats - 1, Now)) {
        Next = (Next + 1) % Seats == Entry ? (Next + 2) % Seats
                                           : (Next + 1) % Seats;
        const unsigned Peer = Each.Renews ? AskedPeer[Each.Renews] : Next;
        AskedPeer[Each.RequestId] = Peer;
        Network.push_back({Entry, Peer, Each});
      }
    }
  };
  return wasted(
      Load,
      [&](unsigned Entry, base::boot_time Now) {
        return All[Entry].tryTake({{Region, 1}}, Now);
      },
      AtTick);
}

void printWaste(const char *Name, double OfCap,
                const std::function<double(const load &, std::uint64_t)> &Run) {
  std::vector<double> Parts;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    Parts.push_back(100 * Run(load(Seed, OfCap), Seed));
  std::sort(Parts.begin(), Parts.end());
  std::printf("%-34s load %3.0f%%: wasted %5.1f%% of the cap (min %.1f, max "
              "%.1f, 5 seeds)\n",
              Name, 100 * OfCap, Parts[Parts.size() / 2], Parts.front(),
              Parts.back());
}

std::size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

void printCost(unsigned Caps) {
  if (Caps == 0)
    return;
  const std::size_t Before = heapBytes();
  caps::share_ledger Ledger(base::incarnation_id{1});
  Ledger.configure(document(Caps, 1'000'000'000));
  const std::size_t Bytes = heapBytes() - Before;
  Ledger.holdSeatUntil(base::boot_time::max());

  std::vector<std::vector<caps::demand>> Demands;
  for (unsigned Index = 0; Index < Caps; ++Index)
    Demands.push_back(
        {{caps::region_cap{base::region_name("r" + std::to_string(Index))},
          1}});
  constexpr unsigned Takes = 2'000'000;
  std::vector<double> PerTake;
  base::boot_time Now{100s};
  for (int Round = 0; Round < 5; ++Round) {
    const auto Begin = std::chrono::steady_clock::now();
    for (unsigned Index = 0; Index < Takes; ++Index, Now += 10us)
      Ledger.tryTake(Demands[Index % Demands.size()], Now);
    const std::chrono::duration<double, std::nano> Spent =
        std::chrono::steady_clock::now() - Begin;
    PerTake.push_back(Spent.count() / Takes);
  }
  std::sort(PerTake.begin(), PerTake.end());
  std::printf("%5u caps: tryTake %6.1f ns (median of 5), %zu bytes in all, "
              "%zu a cap\n",
              Caps, PerTake[2], Bytes, Bytes / Caps);
}

} // namespace

int main() {
  for (const double OfCap : {0.5, 0.9, 1.2}) {
    printWaste("even static split", OfCap,
               [](const load &Load, std::uint64_t /*Seed*/) {
                 return wastedByStaticSplit(Load);
               });
    printWaste("store leases, store up", OfCap,
               [](const load &Load, std::uint64_t /*Seed*/) {
                 return wastedByStoreLeases(Load, base::boot_time::max());
               });
    printWaste("store leases, store down", OfCap,
               [](const load &Load, std::uint64_t /*Seed*/) {
                 return wastedByStoreLeases(Load, base::boot_time(105s));
               });
    printWaste("loans", OfCap, [](const load &Load, std::uint64_t Seed) {
      return wastedByLoans(Load, 0, Seed);
    });
    printWaste("loans, 5% of messages lost", OfCap,
               [](const load &Load, std::uint64_t Seed) {
                 return wastedByLoans(Load, 0.05, Seed);
               });
  }
  for (const unsigned Caps : {9U, 100U, 1000U})
    printCost(Caps);
}
