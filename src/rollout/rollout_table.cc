#include "damaskroute/rollout/rollout_table.h"

namespace damaskroute {

void RolloutTable::SetNodes(const std::set<NodeName>& live, const std::vector<NodeName>& counted) {
  live_ = live;
  counted_ = counted;
  for (auto& [service, decider] : deciders_) decider.SetNodes(live_, counted_);
}

RolloutDecider& RolloutTable::At(const ServiceName& service) {
  auto [found, added] = deciders_.try_emplace(service, service, node_, options_, process_);
  if (added) found->second.SetNodes(live_, counted_);
  return found->second;
}

RolloutDecider* RolloutTable::Find(const ServiceName& service) {
  auto found = deciders_.find(service);
  return found == deciders_.end() ? nullptr : &found->second;
}

bool RolloutTable::Allows(const ServiceName& service, const std::string& version,
                          TimePoint now) const {
  auto found = deciders_.find(service);
  return found == deciders_.end() || found->second.Allows(version, now);
}

VersionPreference RolloutTable::PreferenceFor(const ServiceName& service, bool repeated,
                                              TimePoint now) const {
  auto found = deciders_.find(service);
  return found == deciders_.end() ? VersionPreference()
                                  : found->second.PreferenceFor(repeated, now);
}

}  // namespace damaskroute
