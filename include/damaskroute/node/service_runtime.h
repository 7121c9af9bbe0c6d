#ifndef DAMASKROUTE_NODE_SERVICE_RUNTIME_H_
#define DAMASKROUTE_NODE_SERVICE_RUNTIME_H_

#include "damaskroute/admission/admission_limit.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/scatter/hedge_policy.h"
#include "damaskroute/scatter/service_view.h"
#include "damaskroute/scatter/token_budget.h"

namespace damaskroute {

/// State of a service that a coordinator shares among its queries. Thread-safe.
struct ServiceRuntime {
  ServiceRuntime(ServiceName service_name, TokenBudget& node_hedge_budget);

  ServiceName name;
  HedgePolicy hedge;
  TokenBudget retries;
  AdmissionLimit admission;

  Snapshot<ServiceView> view;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_SERVICE_RUNTIME_H_
