#include "damaskroute/forward/zone_reach.h"

namespace damaskroute {

void ZoneReach::OnNoConnection(const ZoneName& zone, const BackendName& backend, TimePoint begun,
                               TimePoint now) {
  Zone& entry = zones_[zone];
  Duration silence = now - begun;
  if (silence < kLeastSilence || silence > kMostSilence || entry.heard >= begun) return;
  if (now >= entry.last_silence + kRemembered) entry.silent.clear();
  entry.last_silence = now;
  entry.silent.insert(backend);
}

void ZoneReach::OnHeard(const ZoneName& zone, TimePoint now) {
  Zone& entry = zones_[zone];
  entry.heard = now;
  entry.silent.clear();
}

bool ZoneReach::IsLost(const Zone& zone, TimePoint now) {
  return zone.silent.size() >= kSilentServers && now < zone.last_silence + kRemembered;
}

bool ZoneReach::IsLost(const ZoneName& zone, TimePoint now) const {
  auto found = zones_.find(zone);
  return found != zones_.end() && IsLost(found->second, now);
}

bool ZoneReach::IsQuiet(const ZoneName& zone, TimePoint now) const {
  auto found = zones_.find(zone);
  return found == zones_.end() ||
         (now >= found->second.heard + kQuiet && !IsLost(found->second, now));
}

std::set<ZoneName> ZoneReach::Lost(TimePoint now) const {
  std::set<ZoneName> lost;
  for (const auto& [name, zone] : zones_) {
    if (IsLost(zone, now)) lost.insert(name);
  }
  return lost;
}

}  // namespace damaskroute
