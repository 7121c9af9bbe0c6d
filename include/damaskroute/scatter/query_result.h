#ifndef DAMASKROUTE_SCATTER_QUERY_RESULT_H_
#define DAMASKROUTE_SCATTER_QUERY_RESULT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range_set.h"
#include "damaskroute/core/verdict.h"

namespace damaskroute {

/// Outcome of a query over all shards.
struct QueryResult {
  Verdict verdict = Verdict::kNotRun;  ///< `kRan` if any range was answered.
  IndexVersion version = 0;            ///< Version of all rows; 0 if none was available.
  KeyRangeSet covered;                 ///< Keys whose rows are included.
  std::vector<std::string> rows;       ///< JSON fragments without brackets.
  std::uint32_t first_calls = 0;       ///< Calls that are neither hedges nor retries.
  std::uint32_t hedges = 0;            ///< Calls sent because another one was late.
  std::uint32_t retries = 0;           ///< Calls sent after a failure or a restart.
  std::uint32_t stale_replies = 0;     ///< Replies that matched no open call.
  bool blocked = false;                ///< Stopped because it may crash backend servers.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_QUERY_RESULT_H_
