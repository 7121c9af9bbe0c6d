#ifndef DAMASKROUTE_CORE_TIME_H_
#define DAMASKROUTE_CORE_TIME_H_

#include <chrono>
#include <concepts>

namespace damaskroute {

/// Time of the monotonic clock. All decisions use it; wall-clock time appears only in logs and
/// reports.
using TimePoint = std::chrono::steady_clock::time_point;

/// Time span with the resolution of the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// Source of monotonic time: `SteadyClock` in the daemon, `ManualClock` in tests.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// Clock that reads std::chrono::steady_clock.
struct SteadyClock {
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// Clock that changes only when a test advances it.
class ManualClock {
 public:
  TimePoint Now() const { return now_; }
  void Advance(Duration step) { now_ += step; }

 private:
  // Starts above zero so that a default-constructed TimePoint lies in the past.
  TimePoint now_{std::chrono::hours(1)};
};

static_assert(Clock<SteadyClock>);
static_assert(Clock<ManualClock>);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_TIME_H_
