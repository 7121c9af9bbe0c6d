#ifndef DAMASKROUTE_FORWARD_ZONE_REACH_H_
#define DAMASKROUTE_FORWARD_ZONE_REACH_H_

#include <chrono>
#include <map>
#include <set>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Finds out that a whole availability zone is not reached, from calls to a few of its servers. A
/// node with few queries would otherwise find the servers of a zone that is cut off one by one,
/// with a query lost for each few of them.
class ZoneReach {
 public:
  /// Servers that must be silent for their zone to count as lost. Two may crash at the same time.
  static constexpr std::size_t kSilentServers = 3;

  /// A server that refuses connections does so at once; only one that is cut off or without power
  /// gives no answer for so long. Just below the time limit for a connection, 60 ms.
  static constexpr std::chrono::milliseconds kLeastSilence{50};

  /// An attempt that took longer than this was held up by this process, which stood still, and
  /// tells nothing. Several times the time limit for a connection, as small machines run late.
  static constexpr std::chrono::milliseconds kMostSilence{500};

  /// How long a zone counts as lost after the last attempt without an answer. Its servers are
  /// probed each 0.4 s at least while they are known.
  static constexpr std::chrono::milliseconds kRemembered{1000};

  /// A zone of which nothing was heard for so long is worth a probe. The balancer's questions, at
  /// which this is looked at, come each second.
  static constexpr std::chrono::milliseconds kQuiet{900};

  /// An attempt to connect to a server that began at `begun` ended without a connection.
  void OnNoConnection(const ZoneName& zone, const BackendName& backend, TimePoint begun,
                      TimePoint now);

  /// A server of the zone gave a sign of life.
  void OnHeard(const ZoneName& zone, TimePoint now);

  /// Whether no server of the zone is likely to be reached.
  bool IsLost(const ZoneName& zone, TimePoint now) const;

  /// Whether nothing was heard of the zone for `kQuiet`, and it does not count as lost yet.
  bool IsQuiet(const ZoneName& zone, TimePoint now) const;

  /// All zones that count as lost.
  std::set<ZoneName> Lost(TimePoint now) const;

 private:
  struct Zone {
    TimePoint heard;
    TimePoint last_silence;
    std::set<BackendName> silent;  // Since a server was heard.
  };

  static bool IsLost(const Zone& zone, TimePoint now);

  std::map<ZoneName, Zone> zones_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ZONE_REACH_H_
