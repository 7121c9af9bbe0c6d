#ifndef DAMASKROUTE_FORWARD_ROUTE_LATENCY_H_
#define DAMASKROUTE_FORWARD_ROUTE_LATENCY_H_

#include <chrono>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Usual latency of the calls of one route over all servers. Routes differ in the work that their
/// requests take, so the speed of a server is judged relative to it.
class RouteLatency {
 public:
  /// Before the first call the latency is assumed to be a part of the route's objective.
  explicit RouteLatency(std::chrono::milliseconds objective);

  void Add(Duration latency);

  Duration usual() const { return usual_; }

 private:
  Duration usual_;
  int samples_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ROUTE_LATENCY_H_
