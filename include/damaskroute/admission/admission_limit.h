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
  /// Urgent queries may exceed the limit by this fraction.
  double urgent_reserve = 0.1;
  /// Mean latency up to this multiple of the unloaded one counts as no congestion.
  double tolerance = 1.5;
  /// Samples are gathered over this time before the limit moves.
  std::chrono::milliseconds window{100};
  /// After this time the unloaded latency is measured again with half of the limit.
  std::chrono::milliseconds probe_interval{10000};
};

/// Adaptive limit of the queries in progress. The limit follows the ratio of the unloaded latency
/// to the present one. The unloaded latency is the lowest mean of a window; it is never raised by
/// congestion, because it is measured again only while the load is held down. So the limit does
/// not depend on how the load came about, and returns to its former value after overload.
/// Cardwell et al., "BBR: Congestion-based congestion control", 2016, measures its baseline in
/// this way. One for each service; safe for use by several threads, lock-free.
class AdmissionLimit {
 public:
  explicit AdmissionLimit(const AdmissionSettings& settings);

  /// Whether a query may start now. If so, `OnEnd` or `OnRefused` must follow.
  bool TryAdmit(Priority priority);

  /// An admitted query ended after `latency`.
  void OnEnd(Duration latency, TimePoint now);

  /// An admitted query ended without a latency that tells about the load.
  void OnRefused() { in_progress_.fetch_sub(1, std::memory_order_relaxed); }

  /// When a refused caller may try again.
  Duration RetryAfter() const;

  std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }
  std::uint32_t in_progress() const { return in_progress_.load(std::memory_order_relaxed); }

 private:
  void Update(TimePoint now);
  void FinishProbe(Duration::rep mean, TimePoint now);

  const AdmissionSettings settings_;
  std::atomic<std::uint32_t> limit_;
  std::atomic<std::uint32_t> in_progress_{0};
  std::atomic<std::uint32_t> peak_{0};  // Most queries in progress in the window.
  std::atomic<std::uint64_t> samples_{0};
  std::atomic<Duration::rep> latency_sum_{0};
  std::atomic<Duration::rep> mean_{0};
  std::atomic<Duration::rep> window_end_{0};
  // Written only by the thread that moved `window_end_`.
  std::atomic<Duration::rep> baseline_{0};
  std::atomic<Duration::rep> next_probe_{0};
  std::atomic<std::uint32_t> limit_before_probe_{0};  // 0 while no probe runs.
  std::atomic<std::uint32_t> probe_windows_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ADMISSION_ADMISSION_LIMIT_H_
