#ifndef BENCHMARK_MODEL_NAMED_DAYS_H_
#define BENCHMARK_MODEL_NAMED_DAYS_H_

#include <string_view>

#include "absl/status/statusor.h"
#include "benchmark/model/model_day.h"

namespace damaskroute::model {

/// Names of all days, separated by spaces.
inline constexpr char kDayNames[] = "quiet slow dark cut crowd limited lonely_cut";

/// Returns a day of the users' deployment with 4 nodes and 20 shards of two servers. `lonely_cut`
/// uses the deployment with 33 nodes (32 in the model) and 90 shards of three servers, where a node
/// receives about one query a second, and isolates a zone without servers. Every day except `quiet`
/// has one fault from second 5 on. NotFound if there is no such day.
absl::StatusOr<ModelDay> NamedDay(std::string_view name);

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_NAMED_DAYS_H_
