#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_ORDER_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_ORDER_H_

#include <chrono>
#include <string>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// An operator's order to move the traffic of a service to the backend servers of one version.
struct RolloutOrder {
  ServiceName service;
  std::string target_version;
  std::chrono::milliseconds duration{};  ///< From the order to its deadline.

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_ORDER_H_
