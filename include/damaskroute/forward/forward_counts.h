#ifndef DAMASKROUTE_FORWARD_FORWARD_COUNTS_H_
#define DAMASKROUTE_FORWARD_FORWARD_COUNTS_H_

#include <cstdint>

namespace damaskroute {

/// Calls made for one request, for its log line and the metrics.
struct ForwardCounts {
  std::uint32_t calls = 0;
  std::uint32_t hedges = 0;            ///< Sent because a call was late.
  std::uint32_t retries = 0;           ///< Sent because a call failed.
  std::uint32_t over_budget = 0;       ///< Hedges and retries that the budget did not allow.
  std::uint32_t without_capacity = 0;  ///< Calls for which no backend server was eligible.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_COUNTS_H_
