#ifndef DAMASKROUTE_FORWARD_BACKEND_EVIDENCE_H_
#define DAMASKROUTE_FORWARD_BACKEND_EVIDENCE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// How a call to a backend server ended, as far as it tells about the server.
enum class EvidenceOf : std::uint8_t {
  kAnswer,        ///< A good answer.
  kShed,          ///< The server had no room.
  kFailure,       ///< No answer, a broken one, or one that reports an error of the server.
  kUnreachable,   ///< No connection.
  kCancellation,  ///< Cancelled by this node; tells only that it took at least so long.
};

/// What this node's own calls tell about one backend server. Evidence from calls outweighs what the
/// server says of its health.
class BackendEvidence {
 public:
  void OnSent(TimePoint now);

  /// A call that was sent at `sent` ended. `usual`: latency of such calls over all servers.
  void OnEnded(TimePoint sent, EvidenceOf kind, Duration usual, TimePoint now);

  /// Whether the server is expected to take one more call now. It sheds what its queue cannot hold,
  /// and all nodes share the queue, so the number of calls in progress shrinks by a factor with
  /// each shed call and grows slowly with answers (additive increase, multiplicative decrease).
  bool HasRoom() const { return outstanding() + 1 <= room_; }

  /// Calls without an end.
  int outstanding() const { return static_cast<int>(sent_.size()); }

  /// Whether nothing has been heard from the server for unusually long while calls wait for it, as
  /// when its process pauses.
  bool IsStalled(TimePoint now) const { return now >= stalled_at(); }

  /// When the server counts as stalled if nothing is heard until then; `TimePoint::max()` without
  /// calls.
  TimePoint stalled_at() const;

  /// Whether recent failures speak against the server.
  bool IsAvoided(TimePoint now) const { return now < avoid_until_; }

  /// No connection to the server could be opened outside of a call.
  void OnNotReached(TimePoint now);

  /// A connection to the server was opened outside of a call.
  void OnReachable(TimePoint now);

  /// Whether the last call found no connection.
  bool is_unreachable() const { return unreachable_; }

  /// Whether the server could not be reached lately.
  bool IsUnreachable(TimePoint now) const { return unreachable_ && IsAvoided(now); }

  /// When the server may be tried again.
  TimePoint avoid_until() const { return avoid_until_; }

  /// How much longer calls take here than usual; 1 without samples. A high value fades while there
  /// are no new samples, so that a server which was slow is tried again.
  double Slowness(TimePoint now) const;

  /// Fraction of recent calls that failed, 0 to 1; fades while there are no calls.
  double FailureRate(TimePoint now) const;

 private:
  static constexpr double kUnlimited = 1e9;

  void AddLatency(Duration latency, Duration usual, TimePoint now);
  void Avoid(std::chrono::milliseconds first, TimePoint now);
  void AddOutcome(bool failed, TimePoint now);

  std::vector<TimePoint> sent_;  // Ascending.
  TimePoint last_heard_;
  TimePoint avoid_until_;
  TimePoint last_sample_;
  TimePoint last_outcome_;
  Duration latency_{};  // Average over all routes; 0 without samples.
  double slowness_ = 1;
  double room_ = kUnlimited;  // Calls in progress that the server takes.
  double failure_rate_ = 0;
  int failures_in_a_row_ = 0;
  bool unreachable_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_EVIDENCE_H_
