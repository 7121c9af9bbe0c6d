#ifndef DAMASKROUTE_PEER_SHARD_REPLY_H_
#define DAMASKROUTE_PEER_SHARD_REPLY_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"
#include "damaskroute/peer/shard_outcome.h"

namespace damaskroute {

/// Result of one shard call, from the holder to the coordinator.
struct ShardReply {
  std::uint64_t query_id = 0;
  std::uint32_t call_id = 0;
  std::uint32_t attempt = 0;
  BackendName backend;
  ShardOutcome outcome = ShardOutcome::kBadAnswer;
  IndexVersion version = 0;
  KeyRange range;
  std::string rows;  ///< Rows as JSON without the enclosing brackets; empty if there are none.
  BootId boot_id = 0;
  std::uint32_t in_flight = 0;  ///< Running and queued calls of the holder on the backend server.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_SHARD_REPLY_H_
