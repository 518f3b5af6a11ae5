#include "skylarkdyke/config/scope.hpp"

namespace skylarkdyke::config {

domain_regions regionsOfDomains(const document &Document) {
  domain_regions Regions;
  for (const region &Region : Document.Regions)
    for (const base::domain_name &Domain : Region.Domains)
      Regions.emplace(Domain, Region.Name);
  return Regions;
}

const char *toString(drain_scope Scope) {
  switch (Scope) {
  case drain_scope::Target:
    return "target";
  case drain_scope::Domain:
    return "domain";
  case drain_scope::Region:
    return "region";
  }
  return "";
}

const char *toString(drain_action Action) {
  return Action == drain_action::Leave ? "leave" : "return";
}

drained_scopes::drained_scopes(const document &Document)
    : Regions(regionsOfDomains(Document)) {
  for (const drain &Drain : Document.Drains)
    if (Drain.Action == drain_action::Leave)
      NamesByScope[static_cast<std::size_t>(Drain.Scope)].insert(Drain.Name);
}

bool drained_scopes::contains(const target &Target) const {
  const auto IsNamed = [this](drain_scope Scope, const std::string &Name) {
    return NamesByScope[static_cast<std::size_t>(Scope)].count(Name) != 0;
  };
  const auto Region = Regions.find(Target.Domain);
  return IsNamed(drain_scope::Target, Target.Id.str()) ||
         IsNamed(drain_scope::Domain, Target.Domain.str()) ||
         (Region != Regions.end() &&
          IsNamed(drain_scope::Region, Region->second.str()));
}

} // namespace skylarkdyke::config
