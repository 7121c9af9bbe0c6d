#ifndef DAMASKROUTE_PLACEMENT_HOLDERS_H_
#define DAMASKROUTE_PLACEMENT_HOLDERS_H_

#include <optional>

#include "damaskroute/core/ids.h"
#include "damaskroute/placement/share.h"

namespace damaskroute {

/// The nodes that may send calls to a backend server.
struct Holders {
  NodeName first;
  std::optional<NodeName> second;  ///< Empty if the zone has only one node.

  /// Returns the node that owns a half of the limits.
  const NodeName& OwnerOf(ShareHalf half) const {
    return half == ShareHalf::kSecond && second ? *second : first;
  }

  friend bool operator==(const Holders&, const Holders&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PLACEMENT_HOLDERS_H_
