#ifndef DAMASKROUTE_FORWARD_FORWARD_ACTION_H_
#define DAMASKROUTE_FORWARD_FORWARD_ACTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/backend.h"
#include "damaskroute/forward/forward_answer.h"

namespace damaskroute {

/// Send the request to a backend server.
struct SendCall {
  std::uint32_t call = 0;  ///< Number of the call within its request.
  std::shared_ptr<Backend> backend;
};

/// Cancel a call whose result is no longer needed.
struct CancelCall {
  std::uint32_t call = 0;
};

/// Call `ForwardRun::OnTimer` at this time; replaces the previous timer.
struct WakeAt {
  TimePoint at;
};

/// Respond to the caller. The last action of a run.
struct Answer {
  ForwardAnswer answer;
};

using ForwardAction = std::variant<SendCall, CancelCall, WakeAt, Answer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_ACTION_H_
