#ifndef BENCHMARK_MODEL_EXPERIMENT_H_
#define BENCHMARK_MODEL_EXPERIMENT_H_

#include <cstdint>
#include <vector>

#include "benchmark/model/model_day.h"
#include "benchmark/model/model_policy.h"
#include "benchmark/model/model_result.h"

namespace damaskroute::model {

/// Mean of samples with its 95% confidence interval.
struct Estimate {
  double mean = 0;
  double margin = 0;  ///< Half the width of the confidence interval.
};

/// Results of two policies on the same day with the same seeds.
struct Comparison {
  ModelResult a;  ///< Sums over all seeds.
  ModelResult b;
  Estimate credit_a;
  Estimate credit_b;
  Estimate difference;  ///< Credit of b minus credit of a, paired by seed.
};

/// Simulates `day` under both policies with the seeds 1 to `seeds`.
Comparison Compare(const ModelDay& day, const ModelPolicy& a, const ModelPolicy& b,
                   std::uint64_t seeds);

/// Estimates the mean of independent samples.
Estimate EstimateMean(const std::vector<double>& samples);

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_EXPERIMENT_H_
