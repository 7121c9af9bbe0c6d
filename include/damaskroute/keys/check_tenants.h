#ifndef DAMASKROUTE_KEYS_CHECK_TENANTS_H_
#define DAMASKROUTE_KEYS_CHECK_TENANTS_H_

#include <vector>

#include "absl/status/status.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Checks the tenants of a configuration. InvalidArgument if two tenants have the same name or the
/// same key, a name is empty or cannot be sent in a header, a key is empty or has control
/// characters or spaces, or a rate is negative or not finite. The error contains no key.
absl::Status CheckTenants(const std::vector<Tenant>& tenants);

}  // namespace damaskroute

#endif  // DAMASKROUTE_KEYS_CHECK_TENANTS_H_
