#ifndef DAMASKROUTE_PEER_CANCEL_CALLS_H_
#define DAMASKROUTE_PEER_CANCEL_CALLS_H_

#include <cstdint>
#include <vector>

namespace damaskroute {

/// Calls whose answer is no longer needed. The holder cancels those that still run and answers
/// none of them.
struct CancelCalls {
  std::uint64_t query_id = 0;
  std::vector<std::uint32_t> call_ids;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CANCEL_CALLS_H_
