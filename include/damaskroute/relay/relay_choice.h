#ifndef DAMASKROUTE_RELAY_RELAY_CHOICE_H_
#define DAMASKROUTE_RELAY_RELAY_CHOICE_H_

#include <map>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/relay/node_record.h"

namespace damaskroute {

/// Minimum number of readers in a zone, so that one may fail. A reader is a node that watches the
/// store for its peers.
inline constexpr std::size_t kMinReaders = 2;

/// Nodes of a zone per reader. With 300 nodes in four zones and two readers per zone, each reader
/// sent up to 1 MB/s (fleetbench sweep); the slowest links have 50 Mbit/s.
inline constexpr std::size_t kNodesPerReader = 32;

/// Readers that a node may follow: one, and another if that one is lost.
inline constexpr std::size_t kRelaysPerNode = 2;

/// Returns the readers that `self` follows instead of the store, in the order in which it tries
/// them; none if it reads the store itself. All nodes that have the same records choose the same
/// readers, and the followers are distributed evenly over them.
std::vector<Endpoint> ChooseRelays(const NodeName& self, const ZoneName& zone,
                                   const std::map<NodeName, NodeRecord>& nodes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_RELAY_CHOICE_H_
