#ifndef DAMASKROUTE_ADMISSION_ADMISSION_LIMIT_H_
#define DAMASKROUTE_ADMISSION_ADMISSION_LIMIT_H_

#include <atomic>
#include <chrono>
#include <cstdint>

#include "damaskroute/core/priority.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Settings of `AdmissionLimit`.
struct AdmissionSettings {
  std::uint32_t initial_limit = 64;
  std::uint32_t min_limit = 8;
  std::uint32_t max_limit = 4096;
  /// Fraction of the limit by which urgent queries may exceed it.
  double urgent_reserve = 0.1;
  /// A mean latency up to this multiple of the unloaded one does not count as congestion.
  double tolerance = 1.5;
  /// Interval over which samples are collected between adjustments of the limit.
  std::chrono::milliseconds window{100};
  /// Interval after which the unloaded latency is measured again with half of the limit.
  std::chrono::milliseconds probe_interval{10000};
};

/// Adaptive limit of concurrent queries. The limit follows the ratio of the unloaded latency to the
/// current one. The unloaded latency is the lowest mean of a window; congestion never raises it,
/// because only a probe can raise it, during which the limit is halved. So the limit does not
/// depend on the history of the load, and returns to its former value after overload. Cardwell et
/// al., "BBR: Congestion-based congestion control", 2016, measures its baseline in the same way.
/// One instance per service; lock-free and safe for use by several threads.
class AdmissionLimit {
 public:
  explicit AdmissionLimit(const AdmissionSettings& settings);

  /// Admits a query if the limit allows it; then `OnEnd` or `OnRefused` must follow.
  bool TryAdmit(Priority priority);

  /// Records the end of an admitted query that took `latency`.
  void OnEnd(Duration latency, TimePoint now);

  /// Records the end of an admitted query whose latency does not reflect the load.
  void OnRefused() { in_progress_.fetch_sub(1, std::memory_order_relaxed); }

  /// Time after which a refused caller should retry.
  Duration RetryAfter() const;

  std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }
  std::uint32_t in_progress() const { return in_progress_.load(std::memory_order_relaxed); }

 private:
  void Update(TimePoint now);
  void FinishProbe(Duration::rep mean, TimePoint now);

  const AdmissionSettings settings_;
  std::atomic<std::uint32_t> limit_;
  std::atomic<std::uint32_t> in_progress_{0};
  std::atomic<std::uint32_t> peak_{0};  // Maximum of concurrent queries in the window.
  std::atomic<std::uint64_t> samples_{0};
  std::atomic<Duration::rep> latency_sum_{0};
  std::atomic<Duration::rep> mean_{0};
  std::atomic<Duration::rep> window_end_{0};
  // The following members are written only by the thread that advanced `window_end_`.
  std::atomic<Duration::rep> baseline_{0};
  std::atomic<Duration::rep> next_probe_{0};
  std::atomic<std::uint32_t> limit_before_probe_{0};  // 0 outside of a probe.
  std::atomic<std::uint32_t> probe_windows_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ADMISSION_ADMISSION_LIMIT_H_
