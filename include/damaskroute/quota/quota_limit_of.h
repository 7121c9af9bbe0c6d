#ifndef DAMASKROUTE_QUOTA_QUOTA_LIMIT_OF_H_
#define DAMASKROUTE_QUOTA_QUOTA_LIMIT_OF_H_

#include <chrono>

#include "damaskroute/quota/quota_bounds.h"
#include "damaskroute/quota/quota_limit.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Token bucket of the whole quota of a tenant. In any window no more requests run than `bounds`
/// allow, and a tenant that is above its quota for long still gets about
/// `rate_per_s` x window + `burst` per window: a bucket with the nominal figures refuses requests
/// while fewer than that have run. `grant_validity`: until an unused grant expires.
QuotaLimit QuotaLimitOf(const Tenant& tenant, const QuotaBounds& bounds,
                        std::chrono::milliseconds grant_validity);

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_LIMIT_OF_H_
