#ifndef DAMASKROUTE_FORWARD_BACKEND_TABLE_OPTIONS_H_
#define DAMASKROUTE_FORWARD_BACKEND_TABLE_OPTIONS_H_

#include <chrono>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Settings of a `BackendTable`.
struct BackendTableOptions {
  NodeName local_node;
  ZoneName local_zone;
  /// Latency that a call to another zone must save to justify its traffic: twice the one-way delay
  /// between zones.
  std::chrono::microseconds zone_cost{2000};
  /// Factor and constant by which all nodes together may exceed the call rate of a server in cold
  /// start. Set by the deployment.
  double cold_overshoot = 1.5;
  double cold_slack = 5;
  /// Time within which a change of a server's entry is known. Set by the deployment.
  std::chrono::milliseconds entry_bound{3000};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_TABLE_OPTIONS_H_
