#ifndef DAMASKROUTE_ADMISSION_QUEUE_ACTION_H_
#define DAMASKROUTE_ADMISSION_QUEUE_ACTION_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Why a call was refused. None of these calls ran.
enum class RefuseReason : std::uint8_t {
  kQueueFull,  ///< No room, or the room was needed for a call of higher priority.
  kNoTime,     ///< The call could not be answered in the time left.
  kNoSlots,    ///< The holder may not use the backend server now.
};

/// Send the call to the backend server. Its slot is occupied until `CallQueue::OnDone`.
struct StartCall {
  std::uint64_t token = 0;
};

/// Answer the coordinator with `not_run`.
struct RefuseCall {
  std::uint64_t token = 0;
  RefuseReason reason = RefuseReason::kQueueFull;
  Duration retry_after{};  ///< Estimate of when there is room again.
};

/// The deadline of a queued call passed; it did not run.
struct ExpireCall {
  std::uint64_t token = 0;
};

/// Ask the backend server to cancel a running call. The slot stays occupied.
struct CancelRunning {
  std::uint64_t token = 0;
};

/// Call `CallQueue::OnTimer` at this time. Replaces an earlier timer of the queue.
struct SetQueueTimer {
  TimePoint at;
};

/// What the owner of a `CallQueue` has to do, in order.
using QueueAction = std::variant<StartCall, RefuseCall, ExpireCall, CancelRunning, SetQueueTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_ADMISSION_QUEUE_ACTION_H_
