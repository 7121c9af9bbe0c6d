#ifndef DAMASKROUTE_ROUTING_ROUTING_DOCUMENT_H_
#define DAMASKROUTE_ROUTING_ROUTING_DOCUMENT_H_

#include <map>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/http/client_limits.h"
#include "damaskroute/routing/route.h"
#include "damaskroute/routing/service_policy.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// One complete version of the routing configuration.
struct RoutingDocument {
  Revision version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, ServicePolicy> services;
  ClientLimits client_limits;
  bool has_tenants = false;     ///< Whether requests need API keys, even if there are no tenants.
  std::vector<Tenant> tenants;  ///< Without their keys in a `RouteTable`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_ROUTING_DOCUMENT_H_
