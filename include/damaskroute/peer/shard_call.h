#ifndef DAMASKROUTE_PEER_SHARD_CALL_H_
#define DAMASKROUTE_PEER_SHARD_CALL_H_

#include <cstdint>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"

namespace damaskroute {

/// One call of a query to one backend server.
struct ShardCall {
  std::uint32_t call_id = 0;  ///< Unique within the query; a hedged call has its own id.
  std::uint32_t attempt = 0;  ///< 0 for the first call for a range, then incremented.
  BackendName backend;
  KeyRange range;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_SHARD_CALL_H_
