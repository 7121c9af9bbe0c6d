#ifndef DAMASKROUTE_PEER_FORWARD_ACTION_H_
#define DAMASKROUTE_PEER_FORWARD_ACTION_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Action that an entry node forwards to the issuer of its action id.
struct ForwardAction {
  std::uint64_t query_id = 0;  ///< Unique per sending process; returned in the reply.
  FrontName front;
  std::string action_id;
  std::chrono::microseconds time_left{0};  ///< Until the caller's deadline, at send time.
  std::string body;                        ///< The caller's request as JSON.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_FORWARD_ACTION_H_
