#ifndef DAMASKROUTE_PEER_SHARD_BATCH_H_
#define DAMASKROUTE_PEER_SHARD_BATCH_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/priority.h"
#include "damaskroute/peer/shard_call.h"

namespace damaskroute {

/// Calls of one query, sent by the coordinator to a holder, which passes them to backend servers.
struct ShardBatch {
  std::uint64_t query_id = 0;  ///< Unique per coordinator process.
  std::string request_id;      ///< Request id of the caller, for logs and backend servers.
  ServiceName service;
  IndexVersion version = 0;
  std::chrono::microseconds time_left{0};  ///< Until the caller's deadline, at send time.
  Priority priority = Priority::kNormal;
  std::uint64_t fingerprint = 0;  ///< Hash of front and query body.
  std::string body;               ///< Query as JSON.
  std::vector<ShardCall> calls;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_SHARD_BATCH_H_
