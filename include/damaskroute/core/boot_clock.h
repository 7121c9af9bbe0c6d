#ifndef DAMASKROUTE_CORE_BOOT_CLOCK_H_
#define DAMASKROUTE_CORE_BOOT_CLOCK_H_

#include <chrono>
#include <ctime>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Time since the machine booted. Unlike the monotonic clock, it includes suspended time. Use it
/// only for the age of data that is reported to other machines; decisions within a process use
/// `TimePoint`.
inline Duration TimeSinceBoot() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_BOOT_CLOCK_H_
