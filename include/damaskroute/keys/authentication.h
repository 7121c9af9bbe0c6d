#ifndef DAMASKROUTE_KEYS_AUTHENTICATION_H_
#define DAMASKROUTE_KEYS_AUTHENTICATION_H_

#include <string_view>
#include <vector>

#include "damaskroute/http/header_field.h"
#include "damaskroute/keys/key_table.h"
#include "damaskroute/routing/route.h"

namespace damaskroute {

/// Result of the check of a request's API key.
struct Authentication {
  const Tenant* tenant = nullptr;  ///< Null on a public route without a known key.
  const char* refusal = nullptr;   ///< Reason for a refusal with 401; null if accepted.
  bool unknown_key = false;        ///< The refusal may be wrong by a newer configuration.
};

/// Checks the API key in the headers of a request on `route`: `Authorization: SCHEME KEY`, with the
/// scheme in any case. `table` is configured, and the tenant is valid as long as it.
Authentication Authenticate(const std::vector<HeaderField>& headers, const Route& route,
                            const KeyTable& table, std::string_view scheme);

}  // namespace damaskroute

#endif  // DAMASKROUTE_KEYS_AUTHENTICATION_H_
