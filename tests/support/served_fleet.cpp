#include "support/served_fleet.hpp"

#include "support/wait_until.hpp"

#include <algorithm>
#include <chrono>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

/// Longest time until all processes have started and know each other.
static constexpr std::chrono::seconds JoinTimeout{40};

served_fleet::served_fleet(const base::endpoint &Store, std::size_t Size) {
  for (std::size_t I = 0; I < Size; ++I)
    Entries.push_back(
        I == 0 ? std::make_unique<served_entry>(Store)
               : std::make_unique<served_entry>(Store, 4s, Entries[0]->mesh()));
}

bool served_fleet::start() {
  for (const auto &Entry : Entries)
    Entry->launch();
  const auto Size = static_cast<double>(Entries.size());
  const auto Deadline = std::chrono::steady_clock::now() + JoinTimeout;
  return std::all_of(Entries.begin(), Entries.end(), [&](const auto &Entry) {
    return waitUntil(
        [&] {
          return Entry->isReady() &&
                 Entry->metric("skylarkdyke_entries") >= Size;
        },
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Deadline - std::chrono::steady_clock::now()));
  });
}

std::set<std::size_t> served_fleet::restartSome(std::size_t Count,
                                                std::mt19937_64 &Random) {
  std::vector<std::size_t> Others;
  for (std::size_t I = 1; I < Entries.size(); ++I)
    Others.push_back(I);
  std::set<std::size_t> Restarted;
  std::sample(Others.begin(), Others.end(),
              std::inserter(Restarted, Restarted.end()), Count, Random);
  for (const std::size_t I : Restarted)
    Entries[I]->program().kill();
  for (const std::size_t I : Restarted)
    Entries[I]->launch();
  return Restarted;
}

std::vector<base::endpoint> served_fleet::fronts() const {
  std::vector<base::endpoint> Fronts;
  for (const auto &Entry : Entries)
    Fronts.push_back(Entry->front());
  return Fronts;
}

std::size_t served_fleet::peakMemoryBytes() const {
  std::size_t Sum = 0;
  for (const auto &Entry : Entries)
    Sum += Entry->peakMemoryBytes();
  return Sum;
}

} // namespace test_support
