#ifndef DAMASKROUTE_FORWARD_FORWARD_COUNTS_H_
#define DAMASKROUTE_FORWARD_FORWARD_COUNTS_H_

#include <cstdint>

namespace damaskroute {

/// What one request cost, for its log line and the metrics.
struct ForwardCounts {
  std::uint32_t calls = 0;
  std::uint32_t copies = 0;        ///< Sent because a call was late.
  std::uint32_t repeats = 0;       ///< Sent because a call failed.
  std::uint32_t over_budget = 0;   ///< Copies and repeats that the budget did not allow.
  std::uint32_t without_room = 0;  ///< Times that no backend server could be chosen.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_COUNTS_H_
