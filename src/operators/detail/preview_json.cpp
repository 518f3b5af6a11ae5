#include "operators/detail/preview_json.hpp"

#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/scope.hpp"

namespace skylarkdyke::operators::detail {

using nlohmann::json;

json toJson(const base::findings &Findings) {
  json List = json::array();
  for (const base::finding &Finding : Findings)
    List.push_back({{"place", Finding.Location}, {"reason", Finding.Reason}});
  return List;
}

json toJson(const std::vector<config::field_change> &Changes) {
  json List = json::array();
  for (const config::field_change &Change : Changes)
    List.push_back({{"place", Change.Path},
                    {"before", Change.Before},
                    {"after", Change.After}});
  return List;
}

static json regionJson(const config::region_effect &Region) {
  return {{"region", Region.Region.str()},
          {"cap_per_second", Region.CapPerSecond},
          {"slots_before", Region.SlotsBefore},
          {"slots_after", Region.SlotsAfter},
          {"requests_per_second_before", Region.RequestsPerSecondBefore},
          {"requests_per_second_after", Region.RequestsPerSecondAfter},
          {"load_share_before", Region.LoadShareBefore},
          {"load_share_after", Region.LoadShareAfter},
          {"overloads", Region.Overloads}};
}

static json linkJson(const config::link_effect &Link) {
  return {{"from", Link.From.str()},
          {"to", Link.To.str()},
          {"cap_bits_per_second", Link.CapBitsPerSecond},
          {"bits_per_second_before", Link.BitsPerSecondBefore},
          {"bits_per_second_after", Link.BitsPerSecondAfter},
          {"overloaded", Link.IsOverloaded}};
}

json toJson(const config::change_preview &Preview) {
  json Regions = json::array();
  for (const config::region_effect &Region : Preview.Regions)
    Regions.push_back(regionJson(Region));
  json Links = json::array();
  for (const config::link_effect &Link : Preview.Links)
    Links.push_back(linkJson(Link));
  json Leaving = json::array();
  for (const config::leaving_target &Target : Preview.LeavingTargets)
    Leaving.push_back({{"id", Target.Id.str()},
                       {"service", Target.Service.str()},
                       {"removed", Target.IsRemoved}});
  json Drains = json::array();
  for (const config::drain_effect &Drain : Preview.Drains)
    Drains.push_back({{"scope", config::toString(Drain.Drain.Scope)},
                      {"name", Drain.Drain.Name},
                      {"action", config::toString(Drain.Drain.Action)},
                      {"start", config::formatTime(Drain.Drain.Start)},
                      {"ramp_ms", Drain.Ramp.count()}});
  return {{"regions", Regions},
          {"links", Links},
          {"leaving_targets", Leaving},
          {"drains", Drains},
          {"unserved_per_second", Preview.UnservedPerSecond}};
}

} // namespace skylarkdyke::operators::detail
