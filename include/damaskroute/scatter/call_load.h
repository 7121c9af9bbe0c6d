#ifndef DAMASKROUTE_SCATTER_CALL_LOAD_H_
#define DAMASKROUTE_SCATTER_CALL_LOAD_H_

#include <atomic>
#include <cstdint>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Outstanding calls and recent failures of the calls that this node sent to a backend server, or
/// to it through one holder. Thread-safe.
class CallLoad {
 public:
  /// A call was sent.
  void OnSent() { outstanding_.fetch_add(1, std::memory_order_relaxed); }

  /// A call ended, whatever its outcome.
  void OnEnded() { outstanding_.fetch_sub(1, std::memory_order_relaxed); }

  /// A call succeeded. Resets the failure count.
  void OnSuccess();

  /// A call failed at `now`. The target is avoided for `base`, doubled for each consecutive failure
  /// up to 32 times `base`.
  void OnFailure(TimePoint now, Duration base);

  /// Number of calls in flight.
  std::int32_t outstanding() const { return outstanding_.load(std::memory_order_relaxed); }

  /// Whether the target should be avoided at `now` because of recent failures.
  bool IsAvoided(TimePoint now) const {
    return now.time_since_epoch().count() < avoid_until_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::int32_t> outstanding_{0};
  std::atomic<std::uint32_t> failures_in_a_row_{0};
  std::atomic<Duration::rep> avoid_until_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_CALL_LOAD_H_
