#ifndef DAMASKROUTE_SCATTER_SCATTER_ACTION_H_
#define DAMASKROUTE_SCATTER_SCATTER_ACTION_H_

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/peer/shard_call.h"
#include "damaskroute/scatter/query_result.h"

namespace damaskroute {

/// Sends a `ShardBatch` with these calls.
struct SendCalls {
  NodeName holder;
  IndexVersion version = 0;
  std::chrono::microseconds time_left{0};  ///< For `ShardBatch::time_left`.
  std::vector<ShardCall> calls;
};

/// Notifies the holder that the results of these calls are no longer needed.
struct CancelSentCalls {
  NodeName holder;
  std::vector<std::uint32_t> call_ids;
};

/// Schedules `OnTimer`. Replaces any earlier timer of the query.
struct SetTimer {
  TimePoint at;
};

/// Notifies the crash guards of this node and its peers that a backend server broke the connection
/// during a call. Only for queries without rows, once most calls are lost or the query has ended.
struct ReportCrash {
  BackendName backend;
  BootId boot_id = 0;
};

/// Answers the caller. Returned exactly once, as the last action of a query.
struct Finish {
  QueryResult result;
};

/// Actions for the owner of a `ScatterGather`, to be executed in order.
using ScatterAction = std::variant<SendCalls, CancelSentCalls, SetTimer, ReportCrash, Finish>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SCATTER_ACTION_H_
