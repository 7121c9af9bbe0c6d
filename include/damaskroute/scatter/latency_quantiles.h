#ifndef DAMASKROUTE_SCATTER_LATENCY_QUANTILES_H_
#define DAMASKROUTE_SCATTER_LATENCY_QUANTILES_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Latency quantiles of the recent shard calls of a service. The weight of samples decays within
/// about two seconds, but about a thousand recent samples are kept regardless of age. Thread-safe;
/// recording and reading are lock-free.
class LatencyQuantiles {
 public:
  /// `hedge_quantile` (0 to 1) is the quantile returned by `hedge()`.
  explicit LatencyQuantiles(double hedge_quantile);

  /// Records the latency of a call that ended, or the age of a cancelled call. Without cancelled
  /// calls the slowest calls would be missing from the distribution.
  void Record(Duration latency, TimePoint now);

  /// Median; nullopt until there are 100 samples.
  std::optional<Duration> median() const { return Read(median_); }

  /// The quantile passed to the constructor; nullopt until there are 100 samples.
  std::optional<Duration> hedge() const { return Read(hedge_); }

  /// Recomputes the quantiles. `Record` calls it every 50 ms.
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
