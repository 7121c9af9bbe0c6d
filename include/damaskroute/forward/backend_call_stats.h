#ifndef DAMASKROUTE_FORWARD_BACKEND_CALL_STATS_H_
#define DAMASKROUTE_FORWARD_BACKEND_CALL_STATS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Outcome of a call to a backend server, as an observation of the server.
enum class CallObservation : std::uint8_t {
  kAnswer,        ///< A success or a client error.
  kShed,          ///< The server shed the call: it had no capacity and did not run it.
  kFailure,       ///< No response, a malformed one, or a server error.
  kUnreachable,   ///< No connection.
  kCancellation,  ///< Cancelled by this node; its age is a lower bound of the latency.
};

/// Statistics of this node's calls to one backend server. They take precedence over the health that
/// the server reports.
class BackendCallStats {
 public:
  void OnSent(TimePoint now);

  /// Records the end of a call that was sent at `sent`. `mean_latency`: mean of the calls of the
  /// same route to all servers.
  void OnEnded(TimePoint sent, CallObservation observation, Duration mean_latency, TimePoint now);

  /// Whether the server is expected to accept one more call. It sheds calls that its queue cannot
  /// hold. All nodes share the queue, so the limit of concurrent calls shrinks by a factor with
  /// each shed call and grows slowly with successful ones (additive increase, multiplicative
  /// decrease).
  bool HasCapacity() const { return outstanding() + 1 <= capacity_; }

  /// Calls in progress.
  int outstanding() const { return static_cast<int>(sent_.size()); }

  /// Whether the server has been unresponsive for unusually long while calls are in progress, for
  /// example because its process is paused.
  bool IsStalled(TimePoint now) const { return now >= stalled_at(); }

  /// Time at which the server counts as stalled unless it responds before; `TimePoint::max()`
  /// without calls in progress.
  TimePoint stalled_at() const;

  /// Whether calls should go to other servers because of recent failures.
  bool IsAvoided(TimePoint now) const { return now < avoid_until_; }

  /// Records a failure to open a connection outside of a call.
  void OnConnectFailure(TimePoint now);

  /// Records a connection that was opened outside of a call.
  void OnReachable(TimePoint now);

  /// Whether the last attempt to connect failed.
  bool is_unreachable() const { return unreachable_; }

  /// Whether a recent attempt to connect failed and the server is still avoided.
  bool IsUnreachable(TimePoint now) const { return unreachable_ && IsAvoided(now); }

  /// End of the time for which the server is avoided.
  TimePoint avoid_until() const { return avoid_until_; }

  /// Ratio of the server's latency to the mean one; 1 without samples. A value above 1 decays while
  /// there are no new samples, so that calls return to a server that was slow.
  double Slowness(TimePoint now) const;

  /// Fraction of recent calls that failed, 0 to 1; decays while there are no calls.
  double FailureRate(TimePoint now) const;

 private:
  static constexpr double kUnlimited = 1e9;

  void AddLatency(Duration latency, Duration mean_latency, TimePoint now);
  void Avoid(std::chrono::milliseconds first, TimePoint now);
  void AddOutcome(bool failed, TimePoint now);

  std::vector<TimePoint> sent_;  // Ascending.
  TimePoint last_response_;
  TimePoint avoid_until_;
  TimePoint last_sample_;
  TimePoint last_outcome_;
  Duration latency_{};  // Average over all routes; 0 without samples.
  double slowness_ = 1;
  double capacity_ = kUnlimited;  // Limit of concurrent calls.
  double failure_rate_ = 0;
  int consecutive_failures_ = 0;
  bool unreachable_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_CALL_STATS_H_
