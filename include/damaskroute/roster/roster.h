#ifndef DAMASKROUTE_ROSTER_ROSTER_H_
#define DAMASKROUTE_ROSTER_ROSTER_H_

#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/roster/roster_entry.h"

namespace damaskroute {

/// The nodes that may be holders or coordinators. The store serializes its changes, so that all
/// nodes agree on the content of a revision.
struct Roster {
  Revision revision = 0;
  std::vector<RosterEntry> node_entries;  ///< Sorted by node name.

  /// The entry of `node`, or nullptr.
  const RosterEntry* Find(const NodeName& node) const;

  friend bool operator==(const Roster&, const Roster&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_H_
