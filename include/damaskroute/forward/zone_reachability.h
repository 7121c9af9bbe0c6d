#ifndef DAMASKROUTE_FORWARD_ZONE_REACHABILITY_H_
#define DAMASKROUTE_FORWARD_ZONE_REACHABILITY_H_

#include <chrono>
#include <map>
#include <set>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Detects that a whole availability zone is unreachable from failed connections to a few of its
/// servers. Otherwise a node with few queries would detect the servers of a partitioned zone one by
/// one, and lose a query for every few of them.
class ZoneReachability {
 public:
  /// Unresponsive servers after which their zone counts as unreachable. Two servers may crash at
  /// the same time.
  static constexpr std::size_t kMinUnresponsiveServers = 3;

  /// Shorter attempts are ignored: a server whose process has ended refuses connections at once,
  /// only an isolated or powered-off one does not respond for this long. Just below the connect
  /// timeout of 60 ms.
  static constexpr std::chrono::milliseconds kMinAttemptDuration{50};

  /// Longer attempts are ignored: they were delayed by a stall of this process. Several times the
  /// connect timeout, as timers of small machines fire late.
  static constexpr std::chrono::milliseconds kMaxAttemptDuration{500};

  /// How long a zone counts as unreachable after the last attempt without a response. While its
  /// servers are known, they are probed at least every 0.4 s.
  static constexpr std::chrono::milliseconds kUnreachableTtl{1000};

  /// A zone without contact for this long is probed. Just below the interval of the load balancer's
  /// readiness checks, 1 s, at which this is evaluated.
  static constexpr std::chrono::milliseconds kContactTimeout{900};

  /// Records an attempt to connect to a server, begun at `begun`, that failed.
  void OnNoConnection(const ZoneName& zone, const BackendName& backend, TimePoint begun,
                      TimePoint now);

  /// Records a response of any server of the zone.
  void OnContact(const ZoneName& zone, TimePoint now);

  /// Whether the zone is considered unreachable.
  bool IsZoneUnreachable(const ZoneName& zone, TimePoint now) const;

  /// Whether there was no contact with the zone for `kContactTimeout` and it does not count as
  /// unreachable yet.
  bool HasNoRecentContact(const ZoneName& zone, TimePoint now) const;

  /// All zones that are considered unreachable.
  std::set<ZoneName> UnreachableZones(TimePoint now) const;

 private:
  struct Zone {
    TimePoint last_contact;
    TimePoint last_timeout;
    std::set<BackendName> unresponsive;  // Since the last contact.
  };

  static bool IsZoneUnreachable(const Zone& zone, TimePoint now);

  std::map<ZoneName, Zone> zones_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ZONE_REACHABILITY_H_
