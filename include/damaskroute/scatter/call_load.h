#ifndef DAMASKROUTE_SCATTER_CALL_LOAD_H_
#define DAMASKROUTE_SCATTER_CALL_LOAD_H_

#include <atomic>
#include <cstdint>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Evidence from the real calls that this node made to a backend server or through a holder.
/// Safe for use by several threads.
class CallLoad {
 public:
  /// A call was sent.
  void OnSent() { outstanding_.fetch_add(1, std::memory_order_relaxed); }

  /// A call ended, whatever its outcome.
  void OnEnded() { outstanding_.fetch_sub(1, std::memory_order_relaxed); }

  /// A call succeeded: earlier failures no longer count.
  void OnSuccess();

  /// A call failed at `now`. The target is avoided for `base`, doubled for each failure in a row
  /// up to 32 times `base`.
  void OnFailure(TimePoint now, Duration base);

  /// Calls sent and not ended.
  std::int32_t outstanding() const { return outstanding_.load(std::memory_order_relaxed); }

  /// Whether a recent failure advises against the target at `now`.
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
