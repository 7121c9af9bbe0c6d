#include "damaskroute/admission/admission_limit.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

constexpr std::uint64_t kMinSamples = 10;
// Weight of a window's result: an outlier moves the limit by at most a fifth of the distance to its
// target.
constexpr double kSmoothing = 0.2;

Duration::rep Ticks(Duration duration) { return duration.count(); }

}  // namespace

AdmissionLimit::AdmissionLimit(const AdmissionSettings& settings)
    : settings_(settings), limit_(settings.initial_limit) {}

bool AdmissionLimit::TryAdmit(Priority priority) {
  std::uint32_t limit = limit_.load(std::memory_order_relaxed);
  if (priority == Priority::kUrgent) {
    limit += std::max(1U, static_cast<std::uint32_t>(limit * settings_.urgent_reserve));
  }
  std::uint32_t held = in_progress_.load(std::memory_order_relaxed);
  do {
    if (held >= limit) return false;
  } while (!in_progress_.compare_exchange_weak(held, held + 1, std::memory_order_relaxed));
  if (held + 1 > peak_.load(std::memory_order_relaxed)) {
    peak_.store(held + 1, std::memory_order_relaxed);
  }
  return true;
}

void AdmissionLimit::OnEnd(Duration latency, TimePoint now) {
  in_progress_.fetch_sub(1, std::memory_order_relaxed);
  latency_sum_.fetch_add(Ticks(latency), std::memory_order_relaxed);
  samples_.fetch_add(1, std::memory_order_relaxed);
  Duration::rep end = window_end_.load(std::memory_order_relaxed);
  Duration::rep ticks = now.time_since_epoch().count();
  if (ticks < end || samples_.load(std::memory_order_relaxed) < kMinSamples) return;
  if (window_end_.compare_exchange_strong(end, ticks + Ticks(settings_.window),
                                          std::memory_order_acq_rel)) {
    Update(now);
  }
}

Duration AdmissionLimit::RetryAfter() const {
  return std::max<Duration>(Duration(mean_.load(std::memory_order_relaxed)), settings_.window);
}

void AdmissionLimit::Update(TimePoint now) {
  std::uint64_t samples = samples_.exchange(0, std::memory_order_relaxed);
  Duration::rep sum = latency_sum_.exchange(0, std::memory_order_relaxed);
  std::uint32_t peak = peak_.exchange(in_progress(), std::memory_order_relaxed);
  if (samples == 0) return;
  Duration::rep mean = std::max<Duration::rep>(sum / static_cast<Duration::rep>(samples), 1);
  mean_.store(mean, std::memory_order_relaxed);
  if (limit_before_probe_.load(std::memory_order_relaxed) > 0) return FinishProbe(mean, now);

  Duration::rep baseline = baseline_.load(std::memory_order_relaxed);
  Duration::rep ticks = now.time_since_epoch().count();
  if (baseline == 0 || mean < baseline) {
    baseline = mean;
    baseline_.store(baseline, std::memory_order_relaxed);
    next_probe_.store(ticks + Ticks(settings_.probe_interval), std::memory_order_relaxed);
  }
  std::uint32_t old_limit = limit();
  if (ticks >= next_probe_.load(std::memory_order_relaxed)) {
    limit_before_probe_.store(old_limit, std::memory_order_relaxed);
    probe_windows_.store(0, std::memory_order_relaxed);
    limit_.store(std::max(settings_.min_limit, std::min(old_limit, peak) / 2),
                 std::memory_order_relaxed);
    return;
  }
  double gradient = std::clamp(
      settings_.tolerance * static_cast<double>(baseline) / static_cast<double>(mean), 0.5, 1.0);
  // The square root allows the limit to grow while there is no congestion.
  double target = old_limit * gradient + std::sqrt(static_cast<double>(old_limit));
  double moved = old_limit + kSmoothing * (target - old_limit);
  // A limit that is not in use does not show that more load is possible.
  if (moved > old_limit && peak * 2 < old_limit) return;
  auto rounded = static_cast<std::uint32_t>(moved > old_limit ? std::ceil(moved) : moved);
  limit_.store(std::clamp(rounded, settings_.min_limit, settings_.max_limit),
               std::memory_order_relaxed);
}

// Ignores the first window of a probe, which still contains queries from before it.
void AdmissionLimit::FinishProbe(Duration::rep mean, TimePoint now) {
  if (probe_windows_.fetch_add(1, std::memory_order_relaxed) == 0) return;
  baseline_.store(mean, std::memory_order_relaxed);
  next_probe_.store(now.time_since_epoch().count() + Ticks(settings_.probe_interval),
                    std::memory_order_relaxed);
  limit_.store(limit_before_probe_.exchange(0, std::memory_order_relaxed),
               std::memory_order_relaxed);
}

}  // namespace damaskroute
