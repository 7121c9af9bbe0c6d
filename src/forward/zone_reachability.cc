#include "damaskroute/forward/zone_reachability.h"

namespace damaskroute {

void ZoneReachability::OnNoConnection(const ZoneName& zone, const BackendName& backend,
                                      TimePoint begun, TimePoint now) {
  Zone& entry = zones_[zone];
  Duration duration = now - begun;
  if (duration < kMinAttemptDuration || duration > kMaxAttemptDuration ||
      entry.last_contact >= begun) {
    return;
  }
  if (now >= entry.last_timeout + kUnreachableTtl) entry.unresponsive.clear();
  entry.last_timeout = now;
  entry.unresponsive.insert(backend);
}

void ZoneReachability::OnContact(const ZoneName& zone, TimePoint now) {
  Zone& entry = zones_[zone];
  entry.last_contact = now;
  entry.unresponsive.clear();
}

bool ZoneReachability::IsZoneUnreachable(const Zone& zone, TimePoint now) {
  return zone.unresponsive.size() >= kMinUnresponsiveServers &&
         now < zone.last_timeout + kUnreachableTtl;
}

bool ZoneReachability::IsZoneUnreachable(const ZoneName& zone, TimePoint now) const {
  auto found = zones_.find(zone);
  return found != zones_.end() && IsZoneUnreachable(found->second, now);
}

bool ZoneReachability::HasNoRecentContact(const ZoneName& zone, TimePoint now) const {
  auto found = zones_.find(zone);
  return found == zones_.end() || (now >= found->second.last_contact + kContactTimeout &&
                                   !IsZoneUnreachable(found->second, now));
}

std::set<ZoneName> ZoneReachability::UnreachableZones(TimePoint now) const {
  std::set<ZoneName> unreachable;
  for (const auto& [name, zone] : zones_) {
    if (IsZoneUnreachable(zone, now)) unreachable.insert(name);
  }
  return unreachable;
}

}  // namespace damaskroute
