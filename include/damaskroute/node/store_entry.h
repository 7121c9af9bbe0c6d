#ifndef DAMASKROUTE_NODE_STORE_ENTRY_H_
#define DAMASKROUTE_NODE_STORE_ENTRY_H_

#include <cstdint>
#include <string>
#include <variant>

#include "damaskroute/core/ids.h"
#include "damaskroute/relay/node_record.h"
#include "damaskroute/rollout/rollout_order.h"
#include "damaskroute/rollout/rollout_record.h"
#include "damaskroute/rollout/rollout_report.h"
#include "damaskroute/routing/backend_entry.h"
#include "damaskroute/routing/routing_document.h"

namespace damaskroute {

/// Kind of an entry in the store.
enum class StoreEntryKind : std::uint8_t {
  kRouting,
  kBackend,
  kClosedZone,
  kNode,
  kCrashRecord,
  kRolloutOrder,
  kRolloutRecord,
  kRolloutReport,
  kOther
};

/// A decoded key of the store: its kind and the name of the backend server, zone, node, service or
/// request.
struct StoreEntryKey {
  StoreEntryKind kind = StoreEntryKind::kOther;
  std::string name;
  NodeName node;  ///< That published a report on a rollout.
};

/// An operator directive: no new requests are sent to a zone.
struct ClosedZone {
  ZoneName zone;
};

/// A live node of the system and its record.
struct LiveNode {
  NodeName node;
  NodeRecord record;
};

/// The crash record of a request, as an encoded `CrashPage`.
struct StoredCrashRecord {
  std::string page;
};

/// A decoded value of the store.
using StoreEntry = std::variant<RoutingDocument, BackendEntry, ClosedZone, LiveNode,
                                StoredCrashRecord, RolloutOrder, RolloutRecord, RolloutReport>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_ENTRY_H_
