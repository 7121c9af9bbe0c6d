#ifndef DAMASKROUTE_ROUTING_CLOSED_ZONES_H_
#define DAMASKROUTE_ROUTING_CLOSED_ZONES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Time after a restore of the store within which the operator's recent directives are written
/// again. The platform states this time for entries of servers only.
inline constexpr std::chrono::milliseconds kDirectiveGrace{2200};

/// Tracks which zones the operator has closed. When the store was restored from an older copy,
/// recent directives are missing in it and withdrawn ones are in it again, so what was known before
/// stays in force for `kDirectiveGrace`, unless it is written again.
class ClosedZones {
 public:
  /// The store was restored from an older copy: all directives up to the next complete read are
  /// from that copy.
  void OnStoreRestored() { reading_copy_ = true; }

  /// A directive that closes the zone was written at `revision`.
  void OnClosed(const ZoneName& zone, std::uint64_t revision, TimePoint now);

  /// The directive was removed.
  void OnOpened(const ZoneName& zone);

  /// Applies a complete read of the directives; `present` holds the zones that are closed there.
  void OnAllRead(const std::set<ZoneName>& present, TimePoint now);

  /// Returns the closed zones.
  std::set<ZoneName> Closed(TimePoint now) const;

  /// When the result of `Closed` changes without a further event; `TimePoint::max()` if never.
  TimePoint next_change(TimePoint now) const;

 private:
  // A zone with a directive, or one whose directive was removed.
  struct Zone {
    std::uint64_t revision = 0;  // Of the last directive.
    bool closed = false;
    TimePoint until = TimePoint::max();  // From then on, the opposite of `closed` holds.
  };

  static bool IsClosed(const Zone& zone, TimePoint now) {
    return zone.closed == (now < zone.until);
  }

  std::map<ZoneName, Zone> zones_;
  bool reading_copy_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_CLOSED_ZONES_H_
