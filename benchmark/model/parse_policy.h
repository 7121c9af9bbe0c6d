#ifndef BENCHMARK_MODEL_PARSE_POLICY_H_
#define BENCHMARK_MODEL_PARSE_POLICY_H_

#include <string_view>

#include "absl/status/statusor.h"
#include "benchmark/model/model_policy.h"

namespace damaskroute::model {

/// Reads `KEY=VALUE,...` with the keys `copy_after` (part of the objective, above 0 and up to 1),
/// `extra_ratio` (0 to 1), `zone_cost_us` (microseconds) and `limit` (`on` or `off`). The empty
/// text is the product's policy. InvalidArgument says what was expected.
absl::StatusOr<ModelPolicy> ParsePolicy(std::string_view text);

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_PARSE_POLICY_H_
