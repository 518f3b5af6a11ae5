#include "entry/detail/load_board.hpp"

#include <cmath>

namespace skylarkdyke::entry::detail {

static constexpr std::chrono::seconds RateInterval{2};
/// A peer whose heartbeats stop is left out after this time.
static constexpr std::chrono::seconds PeerValidity{2};

void load_board::countRequest(const base::service_name &Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++Counts[Service];
}

void load_board::setPeer(const entries::member &Peer,
                         const std::vector<entries::service_load> &Loads,
                         base::boot_time Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Peers[Peer.Incarnation] = {Peer.Region, Loads, Now + PeerValidity};
  for (auto Each = Peers.begin(); Each != Peers.end();)
    Each = Each->second.ValidUntil < Now ? Peers.erase(Each) : std::next(Each);
}

void load_board::setTarget(const targets::probe_result &Result) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Result.InFlight)
    InFlight[Result.Target] = *Result.InFlight;
  else
    InFlight.erase(Result.Target);
}

void load_board::updateRates(base::boot_time Now) {
  const std::chrono::duration<double> Age = Now - RatesSince;
  if (Age < RateInterval)
    return;
  for (auto &[Service, Count] : Counts) {
    Rates[Service] = static_cast<std::uint32_t>(
        std::lround(static_cast<double>(Count) / Age.count()));
    Count = 0;
  }
  RatesSince = Now;
}

std::vector<entries::service_load>
load_board::ownLoads(const std::vector<callers::service_load> &Loads,
                     const base::region_name &Region, base::boot_time Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  updateRates(Now);
  Own.clear();
  for (const callers::service_load &Load : Loads)
    if (Load.Region == Region)
      Own.push_back({Load.Service, Load.SlotsInUse,
                     static_cast<std::uint32_t>(Load.Waiting),
                     Rates[Load.Service]});
  return Own;
}

std::vector<config::service_load>
load_board::all(const base::region_name &OwnRegion, base::boot_time Now) const {
  using place = std::pair<base::service_name, base::region_name>;
  std::map<place, config::service_load> Sums;
  const auto Add = [&Sums](const base::region_name &Region,
                           const std::vector<entries::service_load> &Loads) {
    for (const entries::service_load &Load : Loads) {
      config::service_load &Sum = Sums[{Load.Service, Region}];
      Sum.Service = Load.Service;
      Sum.Origin = Region;
      Sum.RequestsPerSecond += Load.RequestsPerSecond;
      Sum.BusySlots += Load.InFlight;
    }
  };
  const std::lock_guard<std::mutex> Lock(Mutex);
  Add(OwnRegion, Own);
  for (const auto &[Incarnation, Peer] : Peers)
    if (Peer.ValidUntil >= Now)
      Add(Peer.Region, Peer.Loads);
  std::vector<config::service_load> Result;
  Result.reserve(Sums.size());
  for (auto &[Place, Sum] : Sums)
    Result.push_back(std::move(Sum));
  return Result;
}

std::map<base::target_id, unsigned> load_board::slotsInUse() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return InFlight;
}

} // namespace skylarkdyke::entry::detail
