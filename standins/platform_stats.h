#ifndef STANDINS_PLATFORM_STATS_H_
#define STANDINS_PLATFORM_STATS_H_

#include <cstdint>

namespace damaskroute::standins {

/// Counters of the platform stand-in. Calls are counted by kind when they are received, including
/// refused and unanswered ones.
struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t leases = 0;
  std::uint64_t vm_lists = 0;
  std::uint64_t written = 0;          ///< Writes that took effect.
  std::uint64_t rate_limited = 0;     ///< Responses with status 429.
  std::uint64_t outage = 0;           ///< Calls refused or unanswered in an outage.
  std::uint64_t pending_watches = 0;  ///< Currently waiting.
  std::uint64_t connections = 0;      ///< Currently open.
};

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_STATS_H_
