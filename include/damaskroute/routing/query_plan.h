#ifndef DAMASKROUTE_ROUTING_QUERY_PLAN_H_
#define DAMASKROUTE_ROUTING_QUERY_PLAN_H_

#include <cstddef>
#include <cstdint>

namespace damaskroute {

/// What a version of the routes says about the queries of one route, worked out once.
struct QueryPlan {
  std::uint64_t shard_set = 0;  ///< Hash of the shards; equal for routes with the same shards.
  std::size_t least_parts = 1;  ///< Least number of parts in an answer.
  bool urgent = true;           ///< No route with the same shards comes before it.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_QUERY_PLAN_H_
