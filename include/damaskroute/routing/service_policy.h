#ifndef DAMASKROUTE_ROUTING_SERVICE_POLICY_H_
#define DAMASKROUTE_ROUTING_SERVICE_POLICY_H_

#include <chrono>

namespace damaskroute {

/// Limits of each backend server of a service.
struct ServicePolicy {
  int max_connections = 8;             ///< Over all nodes.
  std::chrono::milliseconds warmup{};  ///< Duration of the cold start.
  double cold_rate = 0;                ///< Requests per second while cold; 0: unlimited.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_SERVICE_POLICY_H_
