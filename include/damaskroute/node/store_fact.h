#ifndef DAMASKROUTE_NODE_STORE_FACT_H_
#define DAMASKROUTE_NODE_STORE_FACT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "damaskroute/core/ids.h"
#include "damaskroute/relay/node_record.h"
#include "damaskroute/routing/backend_entry.h"
#include "damaskroute/routing/routing_document.h"

namespace damaskroute {

/// What a key of the store tells about.
enum class FactKind : std::uint8_t { kRouting, kBackend, kClosedZone, kNode, kOther };

/// A key of the store: its kind, and the name of the backend server, zone or node.
struct FactKey {
  FactKind kind = FactKind::kOther;
  std::string name;
};

/// The operators ask for no more work in a zone.
struct ClosedZone {
  ZoneName zone;
};

/// A node of the system is alive.
struct LiveNode {
  NodeName node;
  NodeRecord record;
};

/// What a value of the store says, decoded.
using StoreFact = std::variant<RoutingDocument, BackendEntry, ClosedZone, LiveNode>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_FACT_H_
