// Time to build the lookup order of a membership and to answer a lookup, beside
// sorting all members on each lookup.

#include "skylarkdyke/steering/dispatcher.hpp"
#include "skylarkdyke/steering/lookup_order.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <exception>
#include <string>

using namespace skylarkdyke;

/// Processor time of this process; unlike elapsed time it leaves out the time
/// in which other processes had the core.
static std::chrono::duration<double> cpuTime() {
  return std::chrono::duration<double>(static_cast<double>(std::clock()) /
                                       CLOCKS_PER_SEC);
}

static constexpr int Rounds = 9;
static constexpr std::size_t ServiceCount = 40;

static base::region_name regionOf(std::size_t Index) {
  return base::region_name("region-" + std::to_string(Index));
}

static std::vector<entries::member> makeMembers(std::size_t Count,
                                                std::size_t Regions) {
  std::vector<entries::member> Members(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Members[I].Name = base::entry_name("entry-" + std::to_string(I));
    Members[I].Incarnation.Value = I + 1;
    Members[I].Region = regionOf(I % Regions);
    Members[I].Ready = true;
    Members[I].Reachable = true;
  }
  return Members;
}

static config::document makeDocument(std::size_t Regions) {
  config::document Document;
  for (std::size_t From = 0; From < Regions; ++From)
    for (std::size_t To = 0; To < Regions; ++To)
      if (From != To)
        Document.Links.push_back(
            {regionOf(From), regionOf(To), 1,
             std::chrono::milliseconds(35 + (From * 7 + To * 7) % 100)});
  return Document;
}

/// Median time of a call in microseconds.
template <typename Function>
static double medianMicroseconds(std::size_t Calls, const Function &Call) {
  std::array<double, Rounds> Times{};
  for (double &Time : Times) {
    const auto Start = cpuTime();
    for (std::size_t I = 0; I < Calls; ++I)
      Call(I);
    const std::chrono::duration<double, std::micro> Passed = cpuTime() - Start;
    Time = Passed.count() / static_cast<double>(Calls);
  }
  std::sort(Times.begin(), Times.end());
  return Times[Rounds / 2];
}

static void measure(std::size_t Count, std::size_t Regions) {
  const auto Members = makeMembers(Count, Regions);
  const auto Document = makeDocument(Regions);
  std::vector<base::service_name> Services;
  Services.reserve(ServiceCount);
  for (std::size_t I = 0; I < ServiceCount; ++I)
    Services.emplace_back("service-" + std::to_string(I));
  std::vector<base::region_name> Names;
  Names.reserve(Regions);
  for (std::size_t I = 0; I < Regions; ++I)
    Names.push_back(regionOf(I));
  std::size_t Named = 0;
  const double Build = medianMicroseconds(20, [&](std::size_t) {
    const steering::lookup_order Order(Document, Members);
    Named += Order.entriesFor(Services[0], Names[0]).size();
  });
  const steering::lookup_order Order(Document, Members);
  const double Lookup = medianMicroseconds(20000, [&](std::size_t I) {
    Named +=
        Order.entriesFor(Services[I % ServiceCount], Names[I % Regions]).size();
  });
  const double Scan = medianMicroseconds(500, [&](std::size_t I) {
    const auto *Found = steering::dispatcherOf(Services[I % ServiceCount],
                                               Names[I % Regions], Members);
    Named += Found != nullptr ? 1 : 0;
  });
  std::printf("%8zu %8zu %10.1f %12.3f %16.3f   %zu\n", Count, Regions, Build,
              Lookup, Scan, Named);
}

static void run() {
  std::printf(" members  regions   build us    lookup us  dispatcher scan us  "
              "(medians of %d; checksum)\n",
              Rounds);
  measure(10, 3);
  measure(40, 3);
  measure(160, 9);
  measure(5800, 27);
}

int main() {
  try {
    run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "benchmark failed: %s\n", Error.what());
    return 1;
  }
}
