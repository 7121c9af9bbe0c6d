#ifndef DAMASKROUTE_SHARES_WARM_GRANT_H_
#define DAMASKROUTE_SHARES_WARM_GRANT_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Second holder to first holder: asks for a grant and reports contrary evidence.
struct WarmQuery {
  BackendName backend;
  std::uint64_t nonce = 0;
  /// Changes with each contrary evidence of the sender; 0 if it has seen none.
  std::uint64_t contrary = 0;

  friend bool operator==(const WarmQuery&, const WarmQuery&) = default;
};

/// First holder to second holder: the backend server is warm. Valid from the time at which the
/// query with the same nonce was sent, by the second holder's clock, so that a delayed grant
/// cannot extend it.
struct WarmGrant {
  BackendName backend;
  std::uint64_t nonce = 0;
  BootId boot_id = 0;
  std::chrono::milliseconds validity{0};

  friend bool operator==(const WarmGrant&, const WarmGrant&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARM_GRANT_H_
