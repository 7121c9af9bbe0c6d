#include "damaskroute/node/service_runtime.h"

#include <utility>

#include "damaskroute/scatter/scatter_policies.h"

namespace damaskroute {

ServiceRuntime::ServiceRuntime(ServiceName service_name, TokenBudget& node_hedge_budget)
    : name(std::move(service_name)),
      hedge(HedgeSettings{}, node_hedge_budget),
      retries(kRetryRatio, kRetryBurst),
      admission(AdmissionSettings{}) {}

}  // namespace damaskroute
