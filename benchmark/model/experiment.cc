#include "benchmark/model/experiment.h"

#include <cmath>
#include <numeric>

#include "benchmark/model/forward_model.h"

namespace damaskroute::model {
namespace {

// Quantile of the normal distribution for a 95% interval; somewhat too narrow for fewer than ten
// seeds.
constexpr double kConfidenceDeviations = 1.96;

}  // namespace

Estimate EstimateMean(const std::vector<double>& samples) {
  auto count = static_cast<double>(samples.size());
  if (samples.empty()) return {};
  double mean = std::accumulate(samples.begin(), samples.end(), 0.0) / count;
  if (samples.size() < 2) return {mean, 0};
  double sum_of_squares = 0;
  for (double sample : samples) sum_of_squares += (sample - mean) * (sample - mean);
  return {mean, kConfidenceDeviations * std::sqrt(sum_of_squares / (count - 1) / count)};
}

Comparison Compare(const ModelDay& day, const ModelPolicy& a, const ModelPolicy& b,
                   std::uint64_t seeds) {
  Comparison comparison;
  std::vector<double> credits_a;
  std::vector<double> credits_b;
  std::vector<double> differences;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    ModelResult result_a = ForwardModel(day, a, seed).Run();
    ModelResult result_b = ForwardModel(day, b, seed).Run();
    credits_a.push_back(result_a.credit());
    credits_b.push_back(result_b.credit());
    differences.push_back(result_b.credit() - result_a.credit());
    comparison.a.Add(result_a);
    comparison.b.Add(result_b);
  }
  comparison.credit_a = EstimateMean(credits_a);
  comparison.credit_b = EstimateMean(credits_b);
  comparison.difference = EstimateMean(differences);
  return comparison;
}

}  // namespace damaskroute::model
