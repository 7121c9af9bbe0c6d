#include "damaskroute/routing/closed_zones.h"

#include <algorithm>

namespace damaskroute {

void ClosedZones::OnClosed(const ZoneName& name, std::uint64_t revision, TimePoint now) {
  auto [place, inserted] = zones_.try_emplace(name);
  Zone& zone = place->second;
  bool withdrawn = !inserted && !IsClosed(zone, now) && zone.revision == revision;
  if (reading_copy_ && withdrawn) {
    zone.closed = false;
    zone.until = now + kDirectiveGrace;
    return;
  }
  zone = {revision, /*closed=*/true, TimePoint::max()};
}

void ClosedZones::OnOpened(const ZoneName& name) {
  auto found = zones_.find(name);
  if (found == zones_.end()) return;
  found->second.closed = false;
  found->second.until = TimePoint::max();
}

void ClosedZones::OnAllRead(const std::set<ZoneName>& present, TimePoint now) {
  for (auto& [name, zone] : zones_) {
    if (present.contains(name)) continue;
    bool closed = IsClosed(zone, now);
    if (!closed) {
      OnOpened(name);
    } else if (zone.closed && zone.until == TimePoint::max()) {
      zone.until = reading_copy_ ? now + kDirectiveGrace : now;
    }
  }
  reading_copy_ = false;
}

std::set<ZoneName> ClosedZones::Closed(TimePoint now) const {
  std::set<ZoneName> closed;
  for (const auto& [name, zone] : zones_) {
    if (IsClosed(zone, now)) closed.insert(name);
  }
  return closed;
}

TimePoint ClosedZones::next_change(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [name, zone] : zones_) {
    if (now < zone.until) next = std::min(next, zone.until);
  }
  return next;
}

}  // namespace damaskroute
