#include "damaskroute/scatter/call_load.h"

#include <algorithm>

namespace damaskroute {

void CallLoad::OnSuccess() {
  // Reads before writing, so that in the common case the cache line stays shared.
  if (failures_in_a_row_.load(std::memory_order_relaxed) == 0) return;
  failures_in_a_row_.store(0, std::memory_order_relaxed);
  avoid_until_.store(0, std::memory_order_relaxed);
}

void CallLoad::OnFailure(TimePoint now, Duration base) {
  std::uint32_t previous_failures = failures_in_a_row_.fetch_add(1, std::memory_order_relaxed);
  Duration avoid = base * (1 << std::min<std::uint32_t>(previous_failures, 5));
  avoid_until_.store((now + avoid).time_since_epoch().count(), std::memory_order_relaxed);
}

}  // namespace damaskroute
