#include "skylarkdyke/placement/leaving_targets.hpp"

#include <algorithm>
#include <tuple>

namespace skylarkdyke::placement {

bool target_incarnation::operator<(const target_incarnation &Other) const {
  return std::tie(Id, StartedAtMs, Address) <
         std::tie(Other.Id, Other.StartedAtMs, Other.Address);
}

target_incarnation incarnationOf(const routing::target &Target) {
  return {Target.Id, Target.Address, Target.StartedAtMs};
}

bool leaving_targets::record(const leaving_notice &Notice) {
  const auto [It, IsNew] = Notices.emplace(Notice.Target, Notice);
  It->second.UsableUntil = std::min(It->second.UsableUntil, Notice.UsableUntil);
  It->second.ForgetAt =
      std::max(It->second.ForgetAt, Notice.LearnedAt + Retention);
  if (Notices.size() > MaxNotices)
    dropOldest();
  return IsNew;
}

void leaving_targets::dropOldest() {
  Notices.erase(std::min_element(
      Notices.begin(), Notices.end(), [](const auto &Left, const auto &Right) {
        return Left.second.ForgetAt < Right.second.ForgetAt;
      }));
}

const leaving_notice *
leaving_targets::find(const target_incarnation &Target) const {
  const auto Found = Notices.find(Target);
  return Found == Notices.end() ? nullptr : &Found->second;
}

void leaving_targets::keep(const target_incarnation &Target,
                           base::boot_time Now) {
  const auto Found = Notices.find(Target);
  if (Found != Notices.end())
    Found->second.ForgetAt = Now + Retention;
}

void leaving_targets::sweep(base::boot_time Now) {
  for (auto It = Notices.begin(); It != Notices.end();)
    It = It->second.ForgetAt <= Now ? Notices.erase(It) : std::next(It);
}

std::vector<leaving_notice> leaving_targets::newest(std::size_t Limit) const {
  std::vector<leaving_notice> Newest;
  for (const auto &[Target, Notice] : Notices)
    Newest.push_back(Notice);
  std::sort(Newest.begin(), Newest.end(),
            [](const leaving_notice &Left, const leaving_notice &Right) {
              return Left.LearnedAt > Right.LearnedAt;
            });
  if (Newest.size() > Limit)
    Newest.resize(Limit);
  return Newest;
}

} // namespace skylarkdyke::placement
