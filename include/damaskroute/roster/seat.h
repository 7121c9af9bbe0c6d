#ifndef DAMASKROUTE_ROSTER_SEAT_H_
#define DAMASKROUTE_ROSTER_SEAT_H_

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Entry of a node in the roster.
struct Seat {
  NodeName node;
  ZoneName zone;
  Endpoint peer;  ///< Address of the node's peer port, for TCP and UDP.
  Incarnation incarnation = 0;
  bool leaving = false;  ///< Holds and coordinates nothing new; is releasing its shares.

  /// Replaced the seat of an earlier process of the node, whose calls may still run. Kept in the
  /// roster, because the seat may have been written by another node.
  bool renewed = false;

  friend bool operator==(const Seat&, const Seat&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_SEAT_H_
