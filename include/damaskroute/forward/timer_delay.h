#ifndef DAMASKROUTE_FORWARD_TIMER_DELAY_H_
#define DAMASKROUTE_FORWARD_TIMER_DELAY_H_

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Estimates how late this node acts, from how late its timers fire: a busy node, or one with a
/// small share of a processor, has to begin earlier to be in time. Mean and deviation are averaged
/// as for the retransmission timeout of TCP (RFC 6298).
class TimerDelay {
 public:
  /// A timer that was due at `due` fired at `now`.
  void OnFired(TimePoint due, TimePoint now);

  /// Time to allow for: the mean and four deviations, within bounds.
  Duration allowance() const;

 private:
  Duration mean_{};
  Duration deviation_{};
  bool has_samples_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_TIMER_DELAY_H_
