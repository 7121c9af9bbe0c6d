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

/// Send a `ShardBatch` with these calls.
struct SendCalls {
  NodeName holder;
  IndexVersion version = 0;
  std::chrono::microseconds time_left{0};  ///< For `ShardBatch::time_left`.
  std::vector<ShardCall> calls;
};

/// Tell the holder that the results of these calls are no longer needed.
struct CancelSentCalls {
  NodeName holder;
  std::vector<std::uint32_t> call_ids;
};

/// Call `OnTimer` at this time. Replaces an earlier timer of the query.
struct SetTimer {
  TimePoint at;
};

/// A backend server broke the connection during a call of the query, which has no rows and has lost
/// most of its calls: tell the crash guards of this node and of its peers.
struct ReportCrash {
  BackendName backend;
  BootId boot_id = 0;
};

/// Answer the caller. The last action of a query; given exactly once.
struct Finish {
  QueryResult result;
};

/// What the owner of a `ScatterGather` has to do, in order.
using ScatterAction = std::variant<SendCalls, CancelSentCalls, SetTimer, ReportCrash, Finish>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SCATTER_ACTION_H_
