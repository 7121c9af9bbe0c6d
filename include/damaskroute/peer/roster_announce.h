#ifndef DAMASKROUTE_PEER_ROSTER_ANNOUNCE_H_
#define DAMASKROUTE_PEER_ROSTER_ANNOUNCE_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/config_announce.h"

namespace damaskroute {

/// `ConfigAnnounce` for the roster. `zone` is empty, because all zones share one roster.
struct RosterAnnounce {
  ZoneName zone;
  ConfigAnnounce announce;

  friend bool operator==(const RosterAnnounce&, const RosterAnnounce&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_ROSTER_ANNOUNCE_H_
