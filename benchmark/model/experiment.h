#ifndef BENCHMARK_MODEL_EXPERIMENT_H_
#define BENCHMARK_MODEL_EXPERIMENT_H_

#include <cstdint>
#include <vector>

#include "benchmark/model/model_day.h"
#include "benchmark/model/model_policy.h"
#include "benchmark/model/model_result.h"

namespace damaskroute::model {

/// Mean of samples, and half the width of its confidence interval of 95%.
struct Estimate {
  double mean = 0;
  double margin = 0;
};

/// Two policies on the same days with the same seeds.
struct Comparison {
  ModelResult a;  ///< Sums over all seeds.
  ModelResult b;
  Estimate credit_a;
  Estimate credit_b;
  Estimate difference;  ///< Of the credit, b less a, of days with equal seeds.
};

/// Plays `day` under both policies with the seeds 1 to `seeds`.
Comparison Compare(const ModelDay& day, const ModelPolicy& a, const ModelPolicy& b,
                   std::uint64_t seeds);

/// Estimate from samples that are independent of each other.
Estimate MeanOf(const std::vector<double>& samples);

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_EXPERIMENT_H_
