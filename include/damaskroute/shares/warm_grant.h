#ifndef DAMASKROUTE_SHARES_WARM_GRANT_H_
#define DAMASKROUTE_SHARES_WARM_GRANT_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Sent by the second holder to the first: requests a grant and reports cold observations.
struct WarmQuery {
  BackendName backend;
  std::uint64_t nonce = 0;
  /// Changes with each observation of the sender that the backend server is cold; 0 without any.
  std::uint64_t cold_observation_id = 0;

  friend bool operator==(const WarmQuery&, const WarmQuery&) = default;
};

/// Sent by the first holder to the second: permits calls because the backend server is warm. The
/// validity starts when the query with the same nonce was sent, by the second holder's clock, so
/// that a delayed grant is not valid for longer.
struct WarmGrant {
  BackendName backend;
  std::uint64_t nonce = 0;
  BootId boot_id = 0;
  std::chrono::milliseconds validity{0};

  friend bool operator==(const WarmGrant&, const WarmGrant&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARM_GRANT_H_
