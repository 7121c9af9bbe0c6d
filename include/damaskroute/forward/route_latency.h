#ifndef DAMASKROUTE_FORWARD_ROUTE_LATENCY_H_
#define DAMASKROUTE_FORWARD_ROUTE_LATENCY_H_

#include <chrono>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Mean latency of the calls of one route over all servers. The cost of a request differs between
/// routes, so the latency of a server is compared with this baseline.
class RouteLatency {
 public:
  /// Before the first call the latency is assumed to be a fraction of the route's objective.
  explicit RouteLatency(std::chrono::milliseconds objective);

  void Add(Duration latency);

  Duration mean() const { return mean_; }

 private:
  Duration mean_;
  int samples_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ROUTE_LATENCY_H_
