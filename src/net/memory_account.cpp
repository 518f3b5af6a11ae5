#include "skylarkdyke/net/memory_account.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace skylarkdyke::net {

/// An address that holds this many times as much as another one may lose a
/// request to it, whether or not the request has made progress.
static constexpr std::size_t UnfairRatio = 2;
/// Added to the time without progress, so that the size decides between charges
/// that have all made progress.
static constexpr std::chrono::seconds MinAge{1};

memory_account::charge::charge(std::shared_ptr<memory_account> Account,
                               std::string Address, stage Stage,
                               base::boot_time Now,
                               std::function<void()> OnEvict)
    : Account(std::move(Account)), Address(std::move(Address)), Stage(Stage),
      ProgressAt(Now), OnEvict(std::move(OnEvict)) {}

memory_account::charge::~charge() { setBytes(0); }

bool memory_account::charge::resize(std::size_t NewBytes, base::boot_time Now) {
  if (Evicted)
    return false;
  if (NewBytes > Bytes &&
      !Account->makeRoom(*this, NewBytes, eviction::Stalled, Now)) {
    ++Account->Totals.RefusedCharges;
    return false;
  }
  setBytes(NewBytes);
  return true;
}

bool memory_account::charge::resizeForResponse(std::size_t NewBytes,
                                               base::boot_time Now) {
  if (NewBytes > Bytes &&
      !Account->makeRoom(*this, NewBytes, eviction::Any, Now) &&
      NewBytes > MaxSmallBytes) {
    ++Account->Totals.RefusedCharges;
    return false;
  }
  setBytes(NewBytes);
  return true;
}

void memory_account::charge::release() {
  setBytes(0);
  Evicted = false;
}

void memory_account::charge::setStage(stage NewStage, base::boot_time Now) {
  Stage = NewStage;
  ProgressAt = Now;
}

void memory_account::charge::setBytes(std::size_t NewBytes) {
  if (NewBytes == Bytes)
    return;
  Account->HeldBytes += NewBytes - Bytes;
  const auto OfAddress = Account->BytesOfAddress.try_emplace(Address).first;
  OfAddress->second += NewBytes - Bytes;
  if (OfAddress->second == 0)
    Account->BytesOfAddress.erase(OfAddress);
  Bytes = NewBytes;
  if (Bytes == 0)
    Account->Charges.erase(this);
  else
    Account->Charges.insert(this);
}

std::size_t memory_account::bytesOf(const std::string &Address) const {
  const auto Found = BytesOfAddress.find(Address);
  return Found == BytesOfAddress.end() ? 0 : Found->second;
}

/// Returns by how much a value exceeds a limit.
static std::size_t excess(std::size_t Value, std::size_t Limit) {
  return Value > Limit ? Value - Limit : 0;
}

bool memory_account::makeRoom(const charge &For, std::size_t NewBytes,
                              eviction Mode, base::boot_time Now) {
  const std::size_t Growth = NewBytes - For.Bytes;
  const std::size_t OfAddress =
      excess(bytesOf(For.Address) + Growth, shareLimit());
  if (OfAddress > 0 &&
      !evict(findCandidates(For, Growth, true, Mode, Now), OfAddress, Now))
    return false;
  const std::size_t Usable = NewBytes > MaxSmallBytes ? shareLimit() : Limit;
  const std::size_t Needed = excess(HeldBytes + Growth, Usable);
  return Needed == 0 ||
         evict(findCandidates(For, Growth, false, Mode, Now), Needed, Now);
}

bool memory_account::mayEvict(const charge &Candidate, const charge &For,
                              std::size_t Growth, eviction Mode,
                              base::boot_time Now) const {
  if (&Candidate == &For || Candidate.Stage == stage::Connected ||
      Candidate.Stage == stage::Running)
    return false;
  if (Mode == eviction::Any || Now - Candidate.ProgressAt >= MinStallTime)
    return true;
  return Candidate.Stage == stage::Receiving &&
         bytesOf(Candidate.Address) / UnfairRatio >
             bytesOf(For.Address) + Growth;
}

std::vector<memory_account::charge *>
memory_account::findCandidates(const charge &For, std::size_t Growth,
                               bool OfAddressOnly, eviction Mode,
                               base::boot_time Now) {
  std::vector<charge *> Candidates;
  for (charge *Candidate : Charges)
    if (mayEvict(*Candidate, For, Growth, Mode, Now) &&
        (!OfAddressOnly || Candidate->Address == For.Address))
      Candidates.push_back(Candidate);
  return Candidates;
}

/// Evicts those first that hold most and have made no progress for longest. If
/// all candidates together hold too little, none is evicted.
bool memory_account::evict(std::vector<charge *> Candidates,
                           std::size_t NeededBytes, base::boot_time Now) {
  const std::size_t Available =
      std::accumulate(Candidates.begin(), Candidates.end(), std::size_t{0},
                      [](std::size_t Sum, const charge *Charge) {
                        return Sum + Charge->Bytes;
                      });
  if (Available < NeededBytes)
    return false;
  const auto Weight = [Now](const charge &Charge) {
    const std::chrono::duration<double> Age = Now - Charge.ProgressAt + MinAge;
    return Age.count() * static_cast<double>(Charge.Bytes);
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&Weight](const charge *Left, const charge *Right) {
              return Weight(*Left) > Weight(*Right);
            });
  const std::size_t Target = HeldBytes - NeededBytes;
  for (charge *Charge : Candidates) {
    if (HeldBytes <= Target)
      break;
    ++(Charge->Stage == stage::Sending ? Totals.EvictedResponses
                                       : Totals.EvictedRequests);
    Charge->Evicted = true;
    Charge->setBytes(0);
    Charge->OnEvict();
  }
  return true;
}

} // namespace skylarkdyke::net
