#include "gateway/detail/restore_guard.hpp"

#include "skylarkdyke/base/overloaded.hpp"

#include <algorithm>

namespace skylarkdyke::gateway::detail {

/// Kinds of items; other changes have none, and are never held back.
static constexpr int NoItem = 0;
static constexpr int TargetItem = 1;
static constexpr int EvacuationItem = 2;

restore_guard::item_key
restore_guard::keyOf(const routing::store_change &Change) {
  return std::visit(
      base::overloaded{
          [](const routing::target_published &Update) {
            return item_key(TargetItem, Update.Target.Id.str());
          },
          [](const routing::target_removed &Update) {
            return item_key(TargetItem, Update.Id.str());
          },
          [](const routing::evacuation_started &Update) {
            return item_key(EvacuationItem, Update.Domain.str());
          },
          [](const routing::evacuation_ended &Update) {
            return item_key(EvacuationItem, Update.Domain.str());
          },
          [](const auto &) { return item_key(NoItem, std::string()); }},
      Change);
}

std::string restore_guard::describe(const routing::store_change &Change) {
  const auto &[Kind, Name] = keyOf(Change);
  return (Kind == TargetItem ? "target=" : "evacuation=") + Name;
}

void restore_guard::note(item_key Key, const withdrawal &Withdrawal) {
  for (auto It = Withdrawals.begin(); It != Withdrawals.end();)
    It = Withdrawal.At - It->second.At > WithdrawalRetention
             ? Withdrawals.erase(It)
             : std::next(It);
  if (Withdrawals.size() >= MaxWithdrawals)
    Withdrawals.erase(std::min_element(Withdrawals.begin(), Withdrawals.end(),
                                       [](const auto &Left, const auto &Right) {
                                         return Left.second.At <
                                                Right.second.At;
                                       }));
  const auto [It, IsNew] = Withdrawals.try_emplace(std::move(Key), Withdrawal);
  withdrawal &Known = It->second;
  Known.At = Withdrawal.At;
  if (IsNew || Withdrawal.StartedAtMs < Known.StartedAtMs)
    return;
  // A withdrawal that is told once more stays one of the earlier era: the store
  // may still list the item.
  Known.Era = Withdrawal.StartedAtMs > Known.StartedAtMs
                  ? Withdrawal.Era
                  : std::min(Known.Era, Withdrawal.Era);
  Known.StartedAtMs = Withdrawal.StartedAtMs;
}

void restore_guard::noteRemoved(const placement::target_incarnation &Target,
                                std::uint64_t Era, base::boot_time Now) {
  note({TargetItem, Target.Id.str()}, {Era, Now, Target.StartedAtMs});
}

void restore_guard::noteEvacuationEnded(const base::domain_name &Domain,
                                        std::uint64_t Era,
                                        base::boot_time Now) {
  note({EvacuationItem, Domain.str()}, {Era, Now, 0});
}

bool restore_guard::isWithdrawn(const routing::store_change &Item,
                                std::uint64_t Era, base::boot_time Now) const {
  const auto Found = Withdrawals.find(keyOf(Item));
  if (Found == Withdrawals.end() || Found->second.Era >= Era ||
      Now - Found->second.At > WithdrawalRetention)
    return false;
  const auto *Published = std::get_if<routing::target_published>(&Item);
  return Published == nullptr ||
         Published->Target.StartedAtMs <= Found->second.StartedAtMs;
}

void restore_guard::hold(const routing::store_change &Change,
                         base::boot_time DueAt) {
  Held[keyOf(Change)] = {Change, DueAt};
}

void restore_guard::release(const routing::store_change &Change) {
  const item_key Key = keyOf(Change);
  Held.erase(Key);
  // The registry may no longer know which incarnation was removed.
  if (!std::holds_alternative<routing::target_removed>(Change))
    Withdrawals.erase(Key);
}

std::vector<routing::store_change> restore_guard::takeDue(base::boot_time Now) {
  std::vector<routing::store_change> Due;
  for (auto It = Held.begin(); It != Held.end();) {
    if (It->second.DueAt > Now) {
      ++It;
      continue;
    }
    Due.push_back(std::move(It->second.Change));
    Withdrawals.erase(It->first);
    It = Held.erase(It);
  }
  return Due;
}

std::vector<held_change> restore_guard::held() const {
  std::vector<held_change> Changes;
  for (const auto &[Key, Change] : Held)
    Changes.push_back(Change);
  return Changes;
}

} // namespace skylarkdyke::gateway::detail
