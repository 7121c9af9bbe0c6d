#ifndef DAMASKROUTE_CRASHGUARD_CRASH_MODE_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_MODE_H_

#include <cstdint>

namespace damaskroute {

/// How a request may run, given the crashes known so far.
enum class CrashMode : std::uint8_t {
  kNormal,   ///< No reason for care.
  kCanary,   ///< One shard call first, the rest after it succeeded; no copies and no retries.
  kWait,     ///< Another canary of the same request runs here: refuse with a short retry time.
  kBlocked,  ///< Refuse with `blocked_request`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_MODE_H_
