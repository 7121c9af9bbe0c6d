#ifndef DAMASKROUTE_ROUTING_SERVICE_POLICY_H_
#define DAMASKROUTE_ROUTING_SERVICE_POLICY_H_

#include <chrono>

namespace damaskroute {

/// What each backend server of a service bears.
struct ServicePolicy {
  int max_connections = 8;             ///< Over all nodes.
  std::chrono::milliseconds warmup{};  ///< Cold for this long after its start.
  double cold_rate = 0;                ///< Requests per second while cold; 0: not limited.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_SERVICE_POLICY_H_
