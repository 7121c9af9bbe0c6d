#ifndef DAMASKROUTE_ROUTING_ROUTE_H_
#define DAMASKROUTE_ROUTING_ROUTE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/routing/weighted_service.h"

namespace damaskroute {

/// Rule for the requests whose host and path it matches: which services serve them, the time
/// limits, and whether they may be retried. A route with shards is a search front: its requests go
/// to all of them.
struct Route {
  std::string name;
  std::string host;    ///< Lower case, without a port.
  std::string prefix;  ///< Path prefix; begins and ends with a slash.
  bool idempotent = false;
  std::chrono::milliseconds timeout{};    ///< Maximum time to an answer.
  std::chrono::milliseconds objective{};  ///< Latency objective; 0 if there is none.
  int priority = 0;                       ///< 0 is the most urgent.
  bool is_public = false;                 ///< Needs no API key where tenants have keys.
  int max_attempts = 1;                   ///< Backend servers that may run one request, per shard.
  std::vector<WeightedService> targets;   ///< Without shards: services and their shares.
  std::vector<ServiceName> shards;        ///< Services that each query is sent to.
  std::size_t top_records = 0;  ///< With shards: number of the greatest records in an answer.
  double min_coverage = 0;      ///< With shards: minimum fraction of them in an answer, 0 to 1.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_ROUTE_H_
