#ifndef DAMASKROUTE_RELAY_RELAY_CHOICE_H_
#define DAMASKROUTE_RELAY_RELAY_CHOICE_H_

#include <map>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/relay/node_record.h"

namespace damaskroute {

/// Nodes of a zone that follow the store themselves. Two, so that one may be lost; calls to the
/// store then do not grow with the number of nodes.
inline constexpr std::size_t kReadersPerZone = 2;

/// The nodes that `self` follows instead of the store, in the order in which it tries them; none if
/// it follows the store. All nodes that know the same records choose the same readers, and the
/// others share them evenly.
std::vector<Endpoint> ChooseRelays(const NodeName& self, const ZoneName& zone,
                                   const std::map<NodeName, NodeRecord>& nodes);

}  // namespace damaskroute

#endif  // DAMASKROUTE_RELAY_RELAY_CHOICE_H_
