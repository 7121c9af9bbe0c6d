#ifndef DAMASKROUTE_FORWARD_OVERLOAD_LIMIT_H_
#define DAMASKROUTE_FORWARD_OVERLOAD_LIMIT_H_

#include "damaskroute/core/time.h"

namespace damaskroute {

/// What the end of a query indicates about the load.
enum class LoadSignal : std::uint8_t {
  kNone,        ///< No indication, for example because the caller disconnected.
  kHealthy,     ///< Answered in time with the required parts.
  kOverloaded,  ///< Many of its shards were late or shed its calls at the same time.
};

/// Limits the concurrent queries of this node over one set of shards. Without it, servers shed most
/// calls of a load spike after they have waited in full queues, and hardly any query gets all its
/// parts in time; callers that repeat their requests at once sustain that state. The limit shrinks
/// by a factor while queries indicate overload and grows by one after as many healthy queries as it
/// allows at once (additive increase, multiplicative decrease), so nodes converge to equal shares
/// without coordination. Chiu and Jain, "Analysis of the increase and decrease algorithms", 1989.
class OverloadLimit {
 public:
  /// Starts a query if the limit allows it; then `Release` and `OnQueryEnded` must follow.
  /// `urgent`: no other route over these shards has a higher priority; the others leave a fraction
  /// of the limit to it.
  bool TryAcquire(bool urgent);

  /// Whether enough of the limit is free for a query that must not take the place of others.
  bool HasSpareRoom() const;

  /// The query no longer loads the servers: it has ended, or only few of its calls are still open.
  /// Call once for each start.
  void Release() { --in_progress_; }

  /// Adjusts the limit after the end of a query. Call after `Release`.
  void OnQueryEnded(LoadSignal signal, TimePoint now);

  /// Whether the servers were overloaded recently. Hedges would then only add to the load.
  bool IsOverloaded(TimePoint now) const { return now < overloaded_until_; }

  double limit() const { return limit_; }
  int in_progress() const { return in_progress_; }

 private:
  static constexpr double kInitialLimit = 64;

  double limit_ = kInitialLimit;
  int in_progress_ = 0;
  TimePoint next_decrease_;
  TimePoint overloaded_until_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_OVERLOAD_LIMIT_H_
