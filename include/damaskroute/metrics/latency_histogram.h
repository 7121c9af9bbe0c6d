#ifndef DAMASKROUTE_METRICS_LATENCY_HISTOGRAM_H_
#define DAMASKROUTE_METRICS_LATENCY_HISTOGRAM_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Histogram of latencies from 100 us to 100 s with ten buckets per decade, which bounds the error
/// of a quantile to 26%. Recording is lock-free and thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Record(Duration latency);

  /// Number of latencies up to `limit`, cumulative.
  struct Bucket {
    std::chrono::duration<double> limit;
    std::uint64_t count = 0;
  };

  /// All buckets in ascending order. The last one has an infinite limit and counts all latencies.
  std::vector<Bucket> Buckets() const;

  /// Sum of all latencies.
  std::chrono::duration<double> Sum() const;

 private:
  using Counter = boost::histogram::accumulators::thread_safe<std::uint64_t>;
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Counter>>;

  Counts counts_;
  std::atomic<std::int64_t> sum_microseconds_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_METRICS_LATENCY_HISTOGRAM_H_
