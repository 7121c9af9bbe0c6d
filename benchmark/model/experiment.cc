#include "benchmark/model/experiment.h"

#include <cmath>
#include <numeric>

#include "benchmark/model/forward_model.h"

namespace damaskroute::model {
namespace {

// Of the normal distribution; somewhat too narrow for less than ten seeds.
constexpr double kDeviations = 1.96;

}  // namespace

Estimate MeanOf(const std::vector<double>& samples) {
  auto count = static_cast<double>(samples.size());
  if (samples.empty()) return {};
  double mean = std::accumulate(samples.begin(), samples.end(), 0.0) / count;
  if (samples.size() < 2) return {mean, 0};
  double squares = 0;
  for (double sample : samples) squares += (sample - mean) * (sample - mean);
  return {mean, kDeviations * std::sqrt(squares / (count - 1) / count)};
}

Comparison Compare(const ModelDay& day, const ModelPolicy& a, const ModelPolicy& b,
                   std::uint64_t seeds) {
  Comparison comparison;
  std::vector<double> credits_a;
  std::vector<double> credits_b;
  std::vector<double> differences;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    ModelResult result_a = ForwardModel(day, a, seed).Play();
    ModelResult result_b = ForwardModel(day, b, seed).Play();
    credits_a.push_back(result_a.credit());
    credits_b.push_back(result_b.credit());
    differences.push_back(result_b.credit() - result_a.credit());
    comparison.a.Add(result_a);
    comparison.b.Add(result_b);
  }
  comparison.credit_a = MeanOf(credits_a);
  comparison.credit_b = MeanOf(credits_b);
  comparison.difference = MeanOf(differences);
  return comparison;
}

}  // namespace damaskroute::model
