#ifndef DAMASKROUTE_ROUTING_WEIGHTED_SERVICE_H_
#define DAMASKROUTE_ROUTING_WEIGHTED_SERVICE_H_

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// A service and its share of the requests of a route.
struct WeightedService {
  ServiceName service;
  double weight = 1;  ///< Relative to the other services of the route; not negative.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_WEIGHTED_SERVICE_H_
