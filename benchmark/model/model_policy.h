#ifndef BENCHMARK_MODEL_MODEL_POLICY_H_
#define BENCHMARK_MODEL_MODEL_POLICY_H_

#include <chrono>
#include <optional>

namespace damaskroute::model {

/// Parameters that an experiment varies. Those without a value keep the product's defaults.
struct ModelPolicy {
  std::optional<double> hedge_after;  ///< Fraction of the objective after which a call is late.
  std::optional<double> extra_ratio;
  std::optional<std::chrono::microseconds> zone_cost;
  bool limit_queries = true;
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_MODEL_POLICY_H_
