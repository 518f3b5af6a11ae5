// Memory and processor time of the state that an entry holds as seat holder,
// dispatcher and witness, by the number of items.

#include "skylarkdyke/caps/share_ledger.hpp"
#include "skylarkdyke/once/key.hpp"
#include "skylarkdyke/once/witness_table.hpp"
#include "skylarkdyke/steering/target_chooser.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <malloc.h>
#include <string>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static constexpr std::size_t Rounds = 9;
static constexpr std::size_t ChooserCalls = 2000;
static constexpr std::size_t LedgerCalls = 2000;
/// Calls of the functions that visit every cap.
static constexpr std::size_t TickCalls = 20;

static std::chrono::duration<double, std::micro> cpuTime() {
  return std::chrono::duration<double>(static_cast<double>(std::clock()) /
                                       CLOCKS_PER_SEC);
}

static std::size_t heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

static double kilobytesSince(std::size_t HeapBefore) {
  return (static_cast<double>(heapBytes()) - static_cast<double>(HeapBefore)) /
         1e3;
}

/// Median processor time of a call in microseconds.
template <typename Function>
static double medianMicroseconds(std::size_t Calls, const Function &Call) {
  std::array<double, Rounds> Times{};
  for (double &Time : Times) {
    const auto Start = cpuTime();
    for (std::size_t Index = 0; Index < Calls; ++Index)
      Call(Index);
    Time = (cpuTime() - Start).count() / static_cast<double>(Calls);
  }
  std::sort(Times.begin(), Times.end());
  return Times[Rounds / 2];
}

static base::region_name regionOf(std::size_t Index) {
  return base::region_name("region-" + std::to_string(Index));
}

static void measureCaps(std::size_t Regions) {
  config::document Document;
  Document.EntrySeats = 10;
  for (std::size_t From = 0; From < Regions; ++From) {
    Document.Regions.push_back({regionOf(From), 1'000'000'000, {}});
    for (std::size_t To = 0; To < Regions; ++To)
      if (To != From)
        Document.Links.push_back(
            {regionOf(From), regionOf(To), 4'000'000'000, 35ms});
  }
  const std::size_t HeapBefore = heapBytes();
  caps::share_ledger Ledger(base::incarnation_id{1});
  Ledger.configure(Document);
  const double Memory = kilobytesSince(HeapBefore);
  base::boot_time Now = base::boot_clock::now();
  Ledger.holdSeatUntil(Now + 24h);
  const std::vector<caps::demand> Demands{
      {caps::region_cap{regionOf(1)}, 1},
      {caps::link_cap{regionOf(0), regionOf(1)}, 1000}};
  std::size_t Taken = 0;
  const double Take = medianMicroseconds(LedgerCalls, [&](std::size_t) {
    Now += 10us;
    Taken += Ledger.tryTake(Demands, Now) ? 1 : 0;
  });
  std::size_t Wanted = 0;
  const double Tick = medianMicroseconds(TickCalls, [&](std::size_t) {
    Now += 250ms;
    Wanted += Ledger.createLoanRequests(9, Now).size();
  });
  std::printf("%8zu %8zu %10.0f %11.3f %15.1f   %zu %zu\n", Regions,
              Document.Regions.size() + Document.Links.size(), Memory, Take,
              Tick, Taken, Wanted);
}

static void measureChooser(std::size_t Count) {
  std::vector<steering::weighted_target> Targets;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    config::target Target;
    Target.Id = base::target_id("target-" + std::to_string(Index));
    Target.Service = base::service_name("service");
    Target.Slots = 4;
    Target.MaxConnections = 350;
    Targets.push_back({std::move(Target), 1});
  }
  const std::size_t HeapBefore = heapBytes();
  steering::target_chooser Chooser;
  base::boot_time Now = base::boot_clock::now();
  Chooser.configure(Targets, Now);
  const double Memory = kilobytesSince(HeapBefore);
  std::size_t Acquired = 0;
  const double Choose = medianMicroseconds(ChooserCalls, [&](std::size_t) {
    Now += 1ms;
    if (const auto Target = Chooser.acquire(4, {}, Now)) {
      Chooser.release(Target->Id, steering::attempt_result::Completed, 5ms,
                      Now);
      ++Acquired;
    }
  });
  const double Report = medianMicroseconds(ChooserCalls, [&](std::size_t I) {
    Chooser.reportProbe(Targets[I % Count].Target.Id, true, 0, Now);
  });
  std::printf("%8zu %10.0f %22.2f %11.3f   %zu\n", Count, Memory, Choose,
              Report, Acquired);
}

static void measureWitness(std::size_t Records) {
  const base::incarnation_id Self{1};
  const base::incarnation_id Owner{2};
  const auto Now = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now());
  const base::wall_time Expiry = Now + 60s;
  const std::string Prefix = once::toString({Owner, Expiry, Self}) + ".order-";
  std::size_t Recorded = 0;
  const std::size_t HeapBefore = heapBytes();
  once::witness_table Table(Self, Records);
  const auto Start = cpuTime();
  for (std::size_t Index = 0; Index < Records; ++Index) {
    const auto Result =
        Table.record(Owner, Prefix + std::to_string(Index), Expiry, Now);
    Recorded += Result == once::record_result::Recorded ? 1 : 0;
  }
  const double Time =
      (cpuTime() - Start).count() / static_cast<double>(Records);
  std::printf("%8zu %10.0f %11.3f   %zu\n", Records, kilobytesSince(HeapBefore),
              Time, Recorded);
}

static void run() {
  std::printf(" regions     caps    heap kB  tryTake us  wantedLoans us  "
              "(medians of %zu; checksums)\n",
              Rounds);
  for (const std::size_t Regions : {3U, 9U, 18U, 27U})
    measureCaps(Regions);
  std::printf("\n targets    heap kB  acquire and release us   report us   "
              "(medians of %zu; checksum)\n",
              Rounds);
  for (const std::size_t Count : {12U, 48U, 120U, 480U})
    measureChooser(Count);
  std::printf("\n records    heap kB   record us   (one run; checksum)\n");
  for (const std::size_t Records : {10000U, 50000U, 100000U, 200000U})
    measureWitness(Records);
}

int main() {
  try {
    run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "benchmark failed: %s\n", Error.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
