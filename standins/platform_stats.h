#ifndef STANDINS_PLATFORM_STATS_H_
#define STANDINS_PLATFORM_STATS_H_

#include <cstdint>

namespace damaskroute::standins {

/// Calls read by the platform stand-in by kind, refused and unanswered ones included.
struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t leases = 0;
  std::uint64_t vm_lists = 0;
  std::uint64_t written = 0;          ///< Writes that took effect.
  std::uint64_t rate_limited = 0;     ///< 429.
  std::uint64_t outage = 0;           ///< Calls refused or ignored by an outage.
  std::uint64_t pending_watches = 0;  ///< Now.
  std::uint64_t connections = 0;      ///< Now open.
};

}  // namespace damaskroute::standins

#endif  // STANDINS_PLATFORM_STATS_H_
