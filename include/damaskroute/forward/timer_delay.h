#ifndef DAMASKROUTE_FORWARD_TIMER_DELAY_H_
#define DAMASKROUTE_FORWARD_TIMER_DELAY_H_

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Estimates the scheduling delay of this node from the lateness of its timers: a busy node, or one
/// with a small CPU quota, has to act earlier to meet an objective. Mean and deviation are averaged
/// as for the retransmission timeout of TCP (RFC 6298).
class TimerDelay {
 public:
  /// Records that a timer that was due at `due` fired at `now`.
  void OnFired(TimePoint due, TimePoint now);

  /// Delay to allow for: the mean plus four deviations, within bounds.
  Duration allowance() const;

 private:
  Duration mean_{};
  Duration deviation_{};
  bool has_samples_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_TIMER_DELAY_H_
