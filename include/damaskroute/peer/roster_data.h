#ifndef DAMASKROUTE_PEER_ROSTER_DATA_H_
#define DAMASKROUTE_PEER_ROSTER_DATA_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/config_data.h"

namespace damaskroute {

/// `ConfigData` for the roster. `zone` is empty, because all zones share one roster.
struct RosterData {
  ZoneName zone;
  ConfigData data;

  friend bool operator==(const RosterData&, const RosterData&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_ROSTER_DATA_H_
