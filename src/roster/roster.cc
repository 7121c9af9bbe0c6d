#include "damaskroute/roster/roster.h"

#include <algorithm>

namespace damaskroute {

const RosterEntry* Roster::Find(const NodeName& node) const {
  auto it = std::lower_bound(
      node_entries.begin(), node_entries.end(), node,
      [](const RosterEntry& entry, const NodeName& name) { return entry.node < name; });
  return it == node_entries.end() || it->node != node ? nullptr : &*it;
}

}  // namespace damaskroute
