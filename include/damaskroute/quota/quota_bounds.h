#ifndef DAMASKROUTE_QUOTA_QUOTA_BOUNDS_H_
#define DAMASKROUTE_QUOTA_QUOTA_BOUNDS_H_

#include <chrono>

namespace damaskroute {

/// Limits on a tenant's requests that run within a window, over all nodes:
/// (rate x `window` + burst) x (1 + `overshoot`) + `slack`.
struct QuotaBounds {
  std::chrono::milliseconds window{5'000};
  double overshoot = 0;
  double slack = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_BOUNDS_H_
