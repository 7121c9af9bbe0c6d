#ifndef DAMASKROUTE_ROSTER_ROSTER_H_
#define DAMASKROUTE_ROSTER_ROSTER_H_

#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/roster/seat.h"

namespace damaskroute {

/// The nodes that may be holders or coordinators, as agreed through the store.
struct Roster {
  Revision revision = 0;
  std::vector<Seat> seats;  ///< Sorted by node name.

  /// Seat of the node, or nullptr.
  const Seat* Find(const NodeName& node) const;

  friend bool operator==(const Roster&, const Roster&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_H_
