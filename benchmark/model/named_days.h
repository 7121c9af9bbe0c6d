#ifndef BENCHMARK_MODEL_NAMED_DAYS_H_
#define BENCHMARK_MODEL_NAMED_DAYS_H_

#include <string_view>

#include "absl/status/statusor.h"
#include "benchmark/model/model_day.h"

namespace damaskroute::model {

/// Names of the days, separated by blanks.
inline constexpr char kDayNames[] = "quiet slow dark cut crowd lonely_cut";

/// A day of the users' deployment with 4 nodes and 20 shards of two servers, or for `lonely_cut` of
/// the one with 33 nodes and 90 shards of three servers, where a node gets one query a
/// second and a zone without servers is cut off.
/// Each but `quiet` has one trouble from second 5 on. NotFound if there is no such day.
absl::StatusOr<ModelDay> NamedDay(std::string_view name);

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_NAMED_DAYS_H_
