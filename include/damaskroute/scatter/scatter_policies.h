#ifndef DAMASKROUTE_SCATTER_SCATTER_POLICIES_H_
#define DAMASKROUTE_SCATTER_SCATTER_POLICIES_H_

#include "damaskroute/core/random.h"
#include "damaskroute/scatter/hedge_policy.h"
#include "damaskroute/scatter/replica_selector.h"
#include "damaskroute/scatter/token_budget.h"

namespace damaskroute {

/// Policies shared by the queries of a service. The referenced objects must outlive the queries.
struct ScatterPolicies {
  const ReplicaSelector& selector;  ///< One per node.
  HedgePolicy& hedge;               ///< One per service.
  TokenBudget& retries;             ///< One per service.
  Random& random;                   ///< One per event loop.
};

/// Retries per first call.
inline constexpr double kRetryRatio = 0.1;

/// Maximum burst of retries. An unreachable zone or node fails all of its open calls at once, a few
/// hundred at a fan-out of 220; the burst allows retrying them at other replicas.
inline constexpr std::uint32_t kRetryBurst = 500;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_SCATTER_POLICIES_H_
