#ifndef DAMASKROUTE_PEER_CANCEL_CALLS_H_
#define DAMASKROUTE_PEER_CANCEL_CALLS_H_

#include <cstdint>
#include <vector>

namespace damaskroute {

/// Cancels calls whose results are no longer needed. The holder aborts those that still run and
/// replies to none of them.
struct CancelCalls {
  std::uint64_t query_id = 0;
  std::vector<std::uint32_t> call_ids;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CANCEL_CALLS_H_
