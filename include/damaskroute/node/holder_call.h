#ifndef DAMASKROUTE_NODE_HOLDER_CALL_H_
#define DAMASKROUTE_NODE_HOLDER_CALL_H_

#include <cstdint>
#include <memory>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/time.h"
#include "damaskroute/peer/run_action.h"
#include "damaskroute/peer/shard_batch.h"

namespace damaskroute {

/// A call to a backend server that a node requested from a holder. Either `batch` with `call`, or
/// `action`, is set.
struct HolderCall {
  Endpoint reply_to;
  std::shared_ptr<const ShardBatch> batch;
  ShardCall call;
  std::shared_ptr<const RunAction> action;
  TimePoint deadline;

  std::uint64_t query_id() const { return action ? action->query_id : batch->query_id; }
  Priority priority() const { return action ? Priority::kUrgent : batch->priority; }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_HOLDER_CALL_H_
