#ifndef DAMASKROUTE_PEER_WARM_GRANT_H_
#define DAMASKROUTE_PEER_WARM_GRANT_H_

#include <chrono>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Permission of the first holder to the second one to use its share of a warm backend server.
struct WarmGrant {
  BackendName backend;
  BootId boot_id = 0;                     ///< The grant ends when an answer has another one.
  std::chrono::milliseconds validity{0};  ///< Counted by the receiver from the receipt.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_WARM_GRANT_H_
