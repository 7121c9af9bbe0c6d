#ifndef DAMASKROUTE_PEER_ACTION_RESULT_H_
#define DAMASKROUTE_PEER_ACTION_RESULT_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/verdict.h"
#include "damaskroute/peer/shard_outcome.h"

namespace damaskroute {

/// Reply to a `RunAction`: the result of its attempt.
struct ActionResult {
  std::uint64_t query_id = 0;
  Verdict verdict = Verdict::kMayHaveRun;
  ShardOutcome outcome = ShardOutcome::kBadAnswer;
  std::string body;  ///< Response body of the backend server.
  BootId boot_id = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_ACTION_RESULT_H_
