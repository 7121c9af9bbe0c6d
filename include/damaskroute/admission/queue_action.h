#ifndef DAMASKROUTE_ADMISSION_QUEUE_ACTION_H_
#define DAMASKROUTE_ADMISSION_QUEUE_ACTION_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Why a call was refused. A refused call has not run.
enum class RefuseReason : std::uint8_t {
  kQueueFull,  ///< The queue is full, or a call of higher priority took its place.
  kNoTime,     ///< The call could not end before its deadline.
  kNoSlots,    ///< The holder has no share of the backend server.
};

/// Send the call to the backend server. Its slot is occupied until `CallQueue::OnDone`.
struct StartCall {
  std::uint64_t token = 0;
};

/// Respond to the coordinator with `not_run`.
struct RefuseCall {
  std::uint64_t token = 0;
  RefuseReason reason = RefuseReason::kQueueFull;
  Duration retry_after{};  ///< Estimated time until a slot is free.
};

/// The deadline of a waiting call passed; it has not run.
struct ExpireCall {
  std::uint64_t token = 0;
};

/// Request the backend server to cancel a running call. The slot stays occupied.
struct CancelRunning {
  std::uint64_t token = 0;
};

/// Call `CallQueue::OnTimer` at this time; replaces the previous timer.
struct SetQueueTimer {
  TimePoint at;
};

/// Actions that the owner of a `CallQueue` executes in order.
using QueueAction = std::variant<StartCall, RefuseCall, ExpireCall, CancelRunning, SetQueueTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_ADMISSION_QUEUE_ACTION_H_
