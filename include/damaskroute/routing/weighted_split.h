#ifndef DAMASKROUTE_ROUTING_WEIGHTED_SPLIT_H_
#define DAMASKROUTE_ROUTING_WEIGHTED_SPLIT_H_

#include <cstddef>
#include <vector>

#include "damaskroute/routing/weighted_service.h"

namespace damaskroute {

/// Distributes requests over services in exact proportion to their weights (smooth weighted
/// round-robin): after any number of requests each service is within one request of its share.
class WeightedSplit {
 public:
  /// Index in `targets` of the service for the next request. `targets` must not be empty. The state
  /// is reset when the number of targets changes.
  std::size_t Next(const std::vector<WeightedService>& targets);

 private:
  std::vector<double> credit_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_WEIGHTED_SPLIT_H_
