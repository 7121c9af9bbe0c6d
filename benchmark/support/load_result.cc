#include "benchmark/support/load_result.h"

#include <algorithm>

namespace damaskroute::bench {

Duration LoadResult::Quantile(double quantile, bool urgent_only) const {
  std::vector<Duration> latencies;
  for (const QuerySample& sample : samples) {
    if (sample.status == 200 && (!urgent_only || sample.urgent)) {
      latencies.push_back(sample.latency);
    }
  }
  if (latencies.empty()) return Duration::zero();
  auto index = static_cast<std::size_t>(quantile * static_cast<double>(latencies.size()));
  index = std::min(index, latencies.size() - 1);
  std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(index),
                   latencies.end());
  return latencies[index];
}

std::uint64_t LoadResult::CountAnswered() const { return CountWithStatus(200); }

std::uint64_t LoadResult::CountGood(Duration deadline) const {
  return static_cast<std::uint64_t>(
      std::count_if(samples.begin(), samples.end(), [&](const QuerySample& sample) {
        return sample.status == 200 && sample.coverage >= 1 && sample.latency <= deadline;
      }));
}

double LoadResult::MeanCoverage() const {
  if (samples.empty()) return 0;
  double sum = 0;
  for (const QuerySample& sample : samples) sum += sample.coverage;
  return sum / static_cast<double>(samples.size());
}

std::uint64_t LoadResult::CountWithStatus(int status) const {
  return static_cast<std::uint64_t>(
      std::count_if(samples.begin(), samples.end(),
                    [&](const QuerySample& sample) { return sample.status == status; }));
}

}  // namespace damaskroute::bench
