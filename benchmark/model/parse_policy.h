#ifndef BENCHMARK_MODEL_PARSE_POLICY_H_
#define BENCHMARK_MODEL_PARSE_POLICY_H_

#include <string_view>

#include "absl/status/statusor.h"
#include "benchmark/model/model_policy.h"

namespace damaskroute::model {

/// Parses a policy of the form `KEY=VALUE,...`; `damaskmodel --help` lists the keys. Numbers are
/// fractions of at most 1 (the delay before hedging at least 0.01), except `zone_cost_us`, which is
/// in microseconds. An empty text gives the product's policy. InvalidArgument names the expected
/// keys or values.
absl::StatusOr<ModelPolicy> ParsePolicy(std::string_view text);

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_PARSE_POLICY_H_
