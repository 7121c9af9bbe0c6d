#ifndef DAMASKROUTE_FORWARD_FORWARD_CONTEXT_H_
#define DAMASKROUTE_FORWARD_FORWARD_CONTEXT_H_

#include <unordered_map>

#include "damaskroute/core/ids.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/forward/extra_budget.h"
#include "damaskroute/forward/route_latency.h"

namespace damaskroute {

/// References to state that the requests of one event loop share. The state outlives them.
struct ForwardContext {
  BackendTable& backends;
  std::unordered_map<ServiceName, ExtraBudget>& budgets;
  ExtraBudgetOptions& budget_options;
  RouteLatency& latency;  ///< Shared by the requests of one route.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_CONTEXT_H_
