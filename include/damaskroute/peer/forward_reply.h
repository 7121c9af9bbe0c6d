#ifndef DAMASKROUTE_PEER_FORWARD_REPLY_H_
#define DAMASKROUTE_PEER_FORWARD_REPLY_H_

#include <cstdint>
#include <string>

namespace damaskroute {

/// Complete reply to a `ForwardQuery`.
struct ForwardReply {
  std::uint64_t query_id = 0;
  int status = 0;    ///< HTTP status for the caller.
  std::string body;  ///< Response body or problem document.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_FORWARD_REPLY_H_
