#ifndef DAMASKROUTE_ROUTING_QUERY_PLAN_H_
#define DAMASKROUTE_ROUTING_QUERY_PLAN_H_

#include <cstddef>
#include <cstdint>

namespace damaskroute {

/// Precomputed properties of the queries of one route.
struct QueryPlan {
  std::uint64_t shard_set = 0;  ///< Hash of the shards; equal for routes with the same shards.
  std::size_t min_required_parts = 1;  ///< Minimum number of parts in an answer.
  bool urgent = true;                  ///< No route with the same shards has a higher priority.
  /// Most urgent priority of all requests that the configuration allows on the same shards.
  int first_priority = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_QUERY_PLAN_H_
