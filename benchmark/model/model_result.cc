#include "benchmark/model/model_result.h"

#include <algorithm>

namespace damaskroute::model {
namespace {

void AddEach(std::vector<double>& sums, const std::vector<double>& values) {
  sums.resize(std::max(sums.size(), values.size()));
  for (std::size_t i = 0; i < values.size(); ++i) sums[i] += values[i];
}

}  // namespace

void ModelResult::Add(const ModelResult& other) {
  asked += other.asked;
  in_time += other.in_time;
  in_time_again += other.in_time_again;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  partial += other.partial;
  calls += other.calls;
  copies += other.copies;
  owed += other.owed;
  earned += other.earned;
  AddEach(owed_by_second, other.owed_by_second);
  AddEach(earned_by_second, other.earned_by_second);
}

}  // namespace damaskroute::model
