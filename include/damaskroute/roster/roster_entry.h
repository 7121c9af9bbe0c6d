#ifndef DAMASKROUTE_ROSTER_ROSTER_ENTRY_H_
#define DAMASKROUTE_ROSTER_ROSTER_ENTRY_H_

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Entry of a node in the roster: the process that may hold shares and coordinate queries under
/// the name of the node.
struct RosterEntry {
  NodeName node;
  ZoneName zone;
  Endpoint peer;  ///< Address of the node's peer port, for TCP and UDP.
  Incarnation incarnation = 0;
  bool leaving = false;  ///< Accepts no new work and is releasing its shares.

  /// The entry replaced that of an earlier process of the node, whose calls may still run. Stored
  /// in the roster because another node may have written the entry.
  bool had_predecessor = false;

  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_ENTRY_H_
