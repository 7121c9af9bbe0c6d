#ifndef DAMASKROUTE_PEER_ROSTER_DATA_H_
#define DAMASKROUTE_PEER_ROSTER_DATA_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/config_data.h"

namespace damaskroute {

/// `ConfigData` about the roster of a zone.
struct RosterData {
  ZoneName zone;
  ConfigData data;

  friend bool operator==(const RosterData&, const RosterData&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_ROSTER_DATA_H_
