#ifndef DAMASKROUTE_SCATTER_REPLICA_H_
#define DAMASKROUTE_SCATTER_REPLICA_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/backend_report.h"
#include "damaskroute/scatter/call_load.h"

namespace damaskroute {

/// A holder through which calls to a backend server can be sent now.
struct HolderShare {
  NodeName node;
  std::uint32_t node_index = 0;  ///< Position in `ServiceView::holders`.
  std::uint32_t share = 0;       ///< Slots, above zero.
  std::shared_ptr<CallLoad> load;
};

/// A backend server that can answer shard calls now.
struct Replica {
  BackendName backend;
  ZoneName zone;
  BackendState state = BackendState::kUnknown;
  std::uint32_t slots = 0;           ///< Sum of the shares.
  std::vector<HolderShare> holders;  ///< Not empty.
  std::shared_ptr<CallLoad> load;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_REPLICA_H_
