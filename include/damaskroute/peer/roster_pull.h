#ifndef DAMASKROUTE_PEER_ROSTER_PULL_H_
#define DAMASKROUTE_PEER_ROSTER_PULL_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/config_pull.h"

namespace damaskroute {

/// `ConfigPull` for the roster. `zone` is empty, because all zones share one roster.
struct RosterPull {
  ZoneName zone;
  ConfigPull pull;

  friend bool operator==(const RosterPull&, const RosterPull&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_ROSTER_PULL_H_
