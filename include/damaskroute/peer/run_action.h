#ifndef DAMASKROUTE_PEER_RUN_ACTION_H_
#define DAMASKROUTE_PEER_RUN_ACTION_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// The only attempt to run an action, sent by its issuer to a holder of the backend server.
struct RunAction {
  std::uint64_t query_id = 0;  ///< Unique per issuing process; returned in the result.
  std::string action_id;
  ServiceName service;
  BackendName backend;
  std::chrono::microseconds time_left{0};  ///< Until the caller's deadline, at send time.
  std::uint64_t fingerprint = 0;           ///< Hash of front and action body.
  std::string body;                        ///< Action as JSON.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_RUN_ACTION_H_
