#ifndef DAMASKROUTE_PEER_FORWARD_QUERY_H_
#define DAMASKROUTE_PEER_FORWARD_QUERY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/priority.h"

namespace damaskroute {

/// Query that an entry node forwards to a coordinator of its service.
struct ForwardQuery {
  std::uint64_t query_id = 0;  ///< Unique per sending process; returned in the reply.
  FrontName front;
  std::string request_id;                  ///< Request id of the caller.
  std::chrono::microseconds time_left{0};  ///< Until the caller's deadline, at send time.
  Priority priority = Priority::kNormal;
  std::string body;  ///< The caller's request as JSON.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_FORWARD_QUERY_H_
