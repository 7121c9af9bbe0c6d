#include "damaskroute/node/service_runtime.h"

#include <utility>

#include "damaskroute/scatter/scatter_policies.h"

namespace damaskroute {

ServiceRuntime::ServiceRuntime(ServiceName service_name, TokenBudget& node_copies)
    : name(std::move(service_name)),
      hedge(HedgeSettings{}, node_copies),
      retries(kRetryRatio, kRetryBurst),
      admission(AdmissionSettings{}) {}

}  // namespace damaskroute
