#ifndef DAMASKROUTE_CORE_BACKOFF_H_
#define DAMASKROUTE_CORE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "damaskroute/core/random.h"

namespace damaskroute {

/// `first` doubled `times` times, at most `longest`.
inline std::chrono::milliseconds Doubled(std::chrono::milliseconds first, int times,
                                         std::chrono::milliseconds longest) {
  // More doublings would only overflow: a millisecond doubled so often is 12 days.
  constexpr int kMostDoublings = 30;
  return std::min(first * (std::int64_t{1} << std::clamp(times, 0, kMostDoublings)), longest);
}

/// From half of `pause` to all of it, so that those who fail together do not return together.
inline std::chrono::milliseconds Jittered(std::chrono::milliseconds pause, Random& random) {
  auto spread = random.Below(static_cast<std::uint64_t>(pause.count()) / 2 + 1);
  return pause / 2 + std::chrono::milliseconds(spread);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_BACKOFF_H_
