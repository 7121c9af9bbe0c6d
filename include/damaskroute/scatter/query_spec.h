#ifndef DAMASKROUTE_SCATTER_QUERY_SPEC_H_
#define DAMASKROUTE_SCATTER_QUERY_SPEC_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/priority.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// A query over all shards of a service.
struct QuerySpec {
  std::uint64_t query_id = 0;  ///< Unique per coordinator process.
  std::string request_id;
  ServiceName service;
  Priority priority = Priority::kNormal;
  TimePoint deadline;  ///< Deadline of the caller.
  std::uint64_t fingerprint = 0;
  std::string body;  ///< Query as JSON.
  /// The same query has succeeded before. If all of its calls lose their connections at once, for
  /// example because a zone became unreachable, one call is retried before the query fails.
  bool known_good = false;
  bool canary = false;  ///< One call first, the rest after it returned rows; no hedges.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_QUERY_SPEC_H_
