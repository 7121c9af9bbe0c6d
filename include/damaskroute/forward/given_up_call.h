#ifndef DAMASKROUTE_FORWARD_GIVEN_UP_CALL_H_
#define DAMASKROUTE_FORWARD_GIVEN_UP_CALL_H_

#include <cstddef>
#include <memory>
#include <string>

#include "damaskroute/core/time.h"
#include "damaskroute/crashguard/request_keys.h"
#include "damaskroute/forward/backend.h"

namespace damaskroute {

/// A call that ended without an answer while the backend server may still have run it: the caller
/// left, or the deadline passed.
struct GivenUpCall {
  std::shared_ptr<Backend> backend;
  RequestKeys keys;
  std::string request;  ///< Id of the request.
  TimePoint sent;
  TimePoint ended;
  std::size_t checks = 0;  ///< Checks of the server since then.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_GIVEN_UP_CALL_H_
