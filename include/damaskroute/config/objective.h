#ifndef DAMASKROUTE_CONFIG_OBJECTIVE_H_
#define DAMASKROUTE_CONFIG_OBJECTIVE_H_

#include <chrono>

namespace damaskroute {

/// Service-level objective of a search front.
struct Objective {
  std::chrono::milliseconds latency{70};  ///< Queries that take longer are late.
  double latency_ratio = 0.99;            ///< Fraction of queries that must not be late.
  double coverage_ratio = 0.999;          ///< Fraction of queries that must be complete.

  friend bool operator==(const Objective&, const Objective&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_OBJECTIVE_H_
