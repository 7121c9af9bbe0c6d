#ifndef DAMASKROUTE_MEMBERSHIP_MEMBERSHIP_COUNTERS_H_
#define DAMASKROUTE_MEMBERSHIP_MEMBERSHIP_COUNTERS_H_

#include <atomic>
#include <cstdint>

namespace damaskroute {

/// Cumulative counters of a `MembershipDriver`; readable from any thread.
struct MembershipCounters {
  std::atomic<std::uint64_t> datagrams_sent{0};
  std::atomic<std::uint64_t> datagrams_received{0};
  std::atomic<std::uint64_t> bytes_sent{0};      ///< Excludes IP and UDP headers.
  std::atomic<std::uint64_t> bytes_received{0};  ///< Excludes IP and UDP headers.
  std::atomic<std::uint64_t> send_failures{0};
  std::atomic<std::uint64_t> forged{0};     ///< Dropped: unknown key or invalid tag.
  std::atomic<std::uint64_t> malformed{0};  ///< Dropped: authentic but undecodable, or too long.
  std::atomic<std::uint64_t> replayed{0};   ///< Dropped: received before, or outside the window.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_MEMBERSHIP_COUNTERS_H_
