#ifndef DAMASKROUTE_SCATTER_LATENCY_QUANTILES_H_
#define DAMASKROUTE_SCATTER_LATENCY_QUANTILES_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Quantiles of the latency of recent shard calls of a service. Samples lose weight over about two
/// seconds, but the last thousand or so are kept however old they are. Recording and reading are
/// lock-free and safe for use by several threads.
class LatencyQuantiles {
 public:
  /// `hedge_quantile` (0 to 1) is the quantile that `hedge()` gives.
  explicit LatencyQuantiles(double hedge_quantile);

  /// Takes in a call that ended, or the age of a call that was cancelled. Without the latter the
  /// slowest calls would be missing from the distribution.
  void Record(Duration latency, TimePoint now);

  /// Median; nullopt until 100 samples are known.
  std::optional<Duration> median() const { return Read(median_); }

  /// The quantile given to the constructor; nullopt until 100 samples are known.
  std::optional<Duration> hedge() const { return Read(hedge_); }

  /// Computes the quantiles from the samples so far. `Record` does so every 50 ms.
  void Refresh();

 private:
  using Counter = boost::histogram::accumulators::thread_safe<std::uint64_t>;
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Counter>>;

  static std::optional<Duration> Read(const std::atomic<Duration::rep>& value);
  Duration::rep QuantileOf(double quantile, std::uint64_t total) const;
  void Decay(double factor);

  const double hedge_quantile_;
  Counts counts_;
  std::atomic<Duration::rep> next_refresh_{0};
  std::atomic<Duration::rep> last_decay_{0};
  std::atomic<Duration::rep> median_{0};
  std::atomic<Duration::rep> hedge_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_LATENCY_QUANTILES_H_
