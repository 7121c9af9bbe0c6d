#ifndef DAMASKROUTE_FORWARD_FORWARD_POLICIES_H_
#define DAMASKROUTE_FORWARD_FORWARD_POLICIES_H_

#include <unordered_map>

#include "damaskroute/core/ids.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/forward/extra_budget.h"
#include "damaskroute/forward/route_latency.h"

namespace damaskroute {

/// State that the requests of one event loop share; outlives them.
struct ForwardPolicies {
  BackendTable& backends;
  std::unordered_map<ServiceName, ExtraBudget>& budgets;
  ExtraBudgetOptions& budget_options;
  RouteLatency& latency;  ///< Of the request's route.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_POLICIES_H_
