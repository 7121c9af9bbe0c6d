#include "damaskroute/metrics/latency_histogram.h"

#include <limits>

namespace damaskroute {
namespace {

constexpr int kBucketCount = 60;
constexpr double kMinLatencySeconds = 1e-4;
constexpr double kMaxLatencySeconds = 1e2;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(std::make_tuple(Axis(kBucketCount, kMinLatencySeconds, kMaxLatencySeconds))) {}

void LatencyHistogram::Record(Duration latency) {
  counts_(std::chrono::duration<double>(latency).count());
  sum_microseconds_.fetch_add(
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count(),
      std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> buckets;
  buckets.reserve(kBucketCount + 2);
  std::uint64_t total = counts_.at(-1).load();
  buckets.push_back({std::chrono::duration<double>(kMinLatencySeconds), total});
  for (int i = 0; i < kBucketCount; ++i) {
    total += counts_.at(i).load();
    buckets.push_back({std::chrono::duration<double>(counts_.axis().bin(i).upper()), total});
  }
  total += counts_.at(kBucketCount).load();
  buckets.push_back(
      {std::chrono::duration<double>(std::numeric_limits<double>::infinity()), total});
  return buckets;
}

std::chrono::duration<double> LatencyHistogram::Sum() const {
  return std::chrono::microseconds(sum_microseconds_.load(std::memory_order_relaxed));
}

}  // namespace damaskroute
