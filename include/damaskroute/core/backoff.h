#ifndef DAMASKROUTE_CORE_BACKOFF_H_
#define DAMASKROUTE_CORE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "damaskroute/core/random.h"

namespace damaskroute {

/// Delay before the next attempt: `first`, doubled `failures` times and limited to `max`.
inline std::chrono::milliseconds ExponentialBackoff(std::chrono::milliseconds first, int failures,
                                                    std::chrono::milliseconds max) {
  // 2^30 milliseconds are 12 days; many more doublings would overflow the 64-bit count.
  constexpr int kMaxDoublings = 30;
  return std::min(first * (std::int64_t{1} << std::clamp(failures, 0, kMaxDoublings)), max);
}

/// Random delay between half of `delay` and all of it, so that clients that fail at the same time
/// do not retry at the same time.
inline std::chrono::milliseconds Jittered(std::chrono::milliseconds delay, Random& random) {
  auto spread = random.Below(static_cast<std::uint64_t>(delay.count()) / 2 + 1);
  return delay / 2 + std::chrono::milliseconds(spread);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_BACKOFF_H_
