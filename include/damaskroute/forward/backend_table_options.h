#ifndef DAMASKROUTE_FORWARD_BACKEND_TABLE_OPTIONS_H_
#define DAMASKROUTE_FORWARD_BACKEND_TABLE_OPTIONS_H_

#include <chrono>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Settings of a `BackendTable`.
struct BackendTableOptions {
  ZoneName own_zone;
  /// Delay that a call to another zone must save to be worth its traffic. Twice the one-way delay
  /// between zones of the deployments served.
  std::chrono::microseconds zone_cost{2000};
  /// Factor and constant by which a server in cold start may be exceeded, over all nodes. From the
  /// deployment's settings.
  double cold_overshoot = 1.5;
  double cold_slack = 5;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_TABLE_OPTIONS_H_
