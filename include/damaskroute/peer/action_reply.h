#ifndef DAMASKROUTE_PEER_ACTION_REPLY_H_
#define DAMASKROUTE_PEER_ACTION_REPLY_H_

#include <cstdint>
#include <string>

#include "damaskroute/core/verdict.h"

namespace damaskroute {

/// Reply to a `ForwardAction`: the recorded outcome of the action.
struct ActionReply {
  std::uint64_t query_id = 0;
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;    ///< HTTP status for the caller.
  std::string body;  ///< Response body or problem document.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_ACTION_REPLY_H_
