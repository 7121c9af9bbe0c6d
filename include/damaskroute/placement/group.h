#ifndef DAMASKROUTE_PLACEMENT_GROUP_H_
#define DAMASKROUTE_PLACEMENT_GROUP_H_

#include <vector>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// The nodes of one zone that coordinate a service and hold its backend servers in that zone.
struct Group {
  ZoneName zone;
  std::vector<NodeName> nodes;  ///< By descending rendezvous weight.

  friend bool operator==(const Group&, const Group&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PLACEMENT_GROUP_H_
