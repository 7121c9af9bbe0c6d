#ifndef DAMASKROUTE_ROUTING_TENANT_H_
#define DAMASKROUTE_ROUTING_TENANT_H_

#include <optional>
#include <string>
#include <vector>

namespace damaskroute {

/// Name of a tenant, unique in one configuration.
using TenantName = std::string;

/// A caller of a deployment that requires API keys: its keys, its rank and its quota over all
/// nodes.
struct Tenant {
  TenantName name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  ///< 0 is the most urgent; overrides the priority of the route.
  double rate_per_s = 0;        ///< Requests per second over all nodes; 0: no quota.
  double burst = 0;             ///< Requests beyond the rate that may come at once.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_TENANT_H_
