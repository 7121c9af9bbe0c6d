#ifndef DAMASKROUTE_RELAY_RELAY_CHOICE_H_
#define DAMASKROUTE_RELAY_RELAY_CHOICE_H_

#include <map>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/relay/node_record.h"

namespace damaskroute {

/// Least number of nodes of a zone that follow the store themselves, so that one may be lost.
inline constexpr std::size_t kLeastReaders = 2;

/// Nodes of a zone for each reader. At 300 nodes in four zones two readers a zone sent up to 1 MB a
/// second each (fleetbench sweep, 4 December 2026); the slowest links have 50 Mbit/s.
inline constexpr std::size_t kNodesPerReader = 32;

/// Readers that a node follows: one, and another when that one is lost.
inline constexpr std::size_t kRelays = 2;

/// The nodes that `self` follows instead of the store, in the order in which it tries them; none if
/// it follows the store. All nodes that know the same records choose the same readers, and the
/// others share them evenly.
std::vector<Endpoint> ChooseRelays(const NodeName& self, const ZoneName& zone,
                                   const std::map<NodeName, NodeRecord>& nodes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_RELAY_CHOICE_H_
