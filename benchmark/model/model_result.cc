#include "benchmark/model/model_result.h"

#include <algorithm>

namespace damaskroute::model {
namespace {

void AddElementwise(std::vector<double>& sums, const std::vector<double>& values) {
  sums.resize(std::max(sums.size(), values.size()));
  for (std::size_t i = 0; i < values.size(); ++i) sums[i] += values[i];
}

}  // namespace

void ModelResult::Add(const ModelResult& other) {
  queries += other.queries;
  in_time += other.in_time;
  in_time_on_retry += other.in_time_on_retry;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  partial += other.partial;
  calls += other.calls;
  hedges += other.hedges;
  over_rate_limit += other.over_rate_limit;
  total_value += other.total_value;
  earned_value += other.earned_value;
  AddElementwise(total_value_by_second, other.total_value_by_second);
  AddElementwise(earned_value_by_second, other.earned_value_by_second);
}

}  // namespace damaskroute::model
