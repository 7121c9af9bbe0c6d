#ifndef DAMASKROUTE_FORWARD_OVERLOAD_LIMIT_H_
#define DAMASKROUTE_FORWARD_OVERLOAD_LIMIT_H_

#include "damaskroute/core/time.h"

namespace damaskroute {

/// How a query ended, as far as it tells about the load.
enum class LoadSign : std::uint8_t {
  kNone,      ///< It tells nothing, for example because its caller left.
  kFine,      ///< It was answered in time.
  kStrained,  ///< Many of its shards were late or had no room at the same time.
};

/// Limit of the queries in progress at this node over one set of shards. Without it servers shed
/// most calls of a crowd after they have waited in full queues, and hardly any query gets all its
/// parts in time; a crowd that repeats at once keeps it so. The limit shrinks by a factor while
/// queries are strained and grows by one for each limit's worth of queries that are fine (additive
/// increase, multiplicative decrease), so nodes approach equal shares without any message. Chiu and
/// Jain, "Analysis of the increase and decrease algorithms", 1989.
class OverloadLimit {
 public:
  /// Whether a query may start now. If so, `Leave` and `OnEnd` must follow. `urgent`: no other
  /// route over these shards comes before it; the others leave it a part of the limit.
  bool TryStart(bool urgent);

  /// A query that started no longer loads the servers: it has ended, or only few of its calls are
  /// still open. Call once for each start.
  void Leave() { --in_progress_; }

  /// Learns from a query that has ended. Call after `Leave`.
  void OnEnd(LoadSign sign, TimePoint now);

  /// Whether the load was too high a moment ago. Copies of late calls would then only add to it.
  bool IsPressed(TimePoint now) const { return now < pressed_until_; }

  double limit() const { return limit_; }
  int in_progress() const { return in_progress_; }

 private:
  static constexpr double kInitial = 64;

  double limit_ = kInitial;
  int in_progress_ = 0;
  TimePoint next_decrease_;
  TimePoint pressed_until_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_OVERLOAD_LIMIT_H_
