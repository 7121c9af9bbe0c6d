#include "damaskroute/roster/stored_seats.h"

#include <algorithm>
#include <iterator>

#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {

absl::StatusOr<Roster> CombineZoneSeats(const std::vector<StoredSeats>& first,
                                        const std::vector<StoredSeats>& second) {
  bool same =
      std::equal(first.begin(), first.end(), second.begin(), second.end(),
                 [](const StoredSeats& a, const StoredSeats& b) { return a.version == b.version; });
  if (!same) return absl::AbortedError("the roster changed between the passes");
  Roster roster;
  for (const StoredSeats& zone : second) {
    roster.revision += zone.version;
    if (zone.version == 0) continue;
    absl::StatusOr<Roster> part = DecodeRoster(zone.value);
    if (!part.ok()) return part.status();
    std::move(part->seats.begin(), part->seats.end(), std::back_inserter(roster.seats));
  }
  std::sort(roster.seats.begin(), roster.seats.end(),
            [](const Seat& a, const Seat& b) { return a.node < b.node; });
  auto twice = std::adjacent_find(roster.seats.begin(), roster.seats.end(),
                                  [](const Seat& a, const Seat& b) { return a.node == b.node; });
  if (twice != roster.seats.end()) return absl::DataLossError("a node has seats in two zones");
  return roster;
}

}  // namespace damaskroute
