#ifndef DAMASKROUTE_FORWARD_COLD_GATE_H_
#define DAMASKROUTE_FORWARD_COLD_GATE_H_

#include <algorithm>
#include <chrono>
#include <deque>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Limits the calls that this node sends to a backend server in cold start. Each node uses a fixed
/// share of the server's limit, so the sum stays within it without coordination between nodes.
class ColdGate {
 public:
  /// Marks the server as cold until `until`.
  void SetCold(TimePoint until) { cold_until_ = until; }

  /// Marks the server as cold at least until `until`.
  void ExtendCold(TimePoint until) { cold_until_ = std::max(cold_until_, until); }

  /// Counts the calls that were sent to the previous incarnation of the server.
  void CountCallsOf(const ColdGate& previous) { recent_ = previous.recent_; }

  /// Sets the calls per second that a cold server accepts from this node. No calls are allowed
  /// before.
  void SetRate(double node_rate) { node_rate_ = node_rate; }

  bool IsCold(TimePoint now) const { return now < cold_until_; }

  /// Whether a call may be sent now.
  bool Allows(TimePoint now) const;

  void OnSent(TimePoint now);

 private:
  TimePoint cold_until_;
  double node_rate_ = 0;
  std::deque<TimePoint> recent_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_COLD_GATE_H_
