#ifndef DAMASKROUTE_CRASHGUARD_CRASH_MODE_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_MODE_H_

#include <cstdint>

namespace damaskroute {

/// How a request may run, given the known crashes.
enum class CrashMode : std::uint8_t {
  kNormal,   ///< Without restrictions.
  kCanary,   ///< One shard call first, the rest after it succeeded; no hedges and no retries.
  kWait,     ///< This node runs a canary of the same request: refuse with a short Retry-After.
  kBlocked,  ///< Refuse with `blocked_request`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_MODE_H_
