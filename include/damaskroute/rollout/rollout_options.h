#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_OPTIONS_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_OPTIONS_H_

#include <chrono>

namespace damaskroute {

/// Settings of a `RolloutDecider`.
struct RolloutOptions {
  double canary_share = 0.1;
  double canary_slack = 0;
  /// Upper limit of the time in which a node that reaches the store sees a change. Set from the
  /// batch delay of the feed.
  std::chrono::milliseconds notice_delay{1500};
  /// Time between two writes of the record by its holder, which show that it lives.
  std::chrono::milliseconds heartbeat{700};
  /// Minimum time between two reports of a node, and the limit for all nodes together.
  std::chrono::milliseconds report_interval{1000};
  double reports_per_second = 200;
  /// Minimum time between two reports after a decision, so that a version which is bad under load
  /// is noticed while it has got few calls.
  std::chrono::milliseconds decided_report_interval{500};
  /// Nodes take over, or begin, one after the other in an order of their own per service.
  std::chrono::milliseconds rank_delay{300};
  /// How long all nodes send all calls to the target version before the old servers are released,
  /// if there is time: a version that is bad only under load shows it then.
  std::chrono::milliseconds confirm_time{1000};
  /// The final state is written at least this long before the deadline: two calls to a store that
  /// takes 240 ms for each.
  std::chrono::milliseconds end_margin{700};
  /// Without news of the store for this long, no promotion is decided.
  std::chrono::milliseconds max_store_age{5000};

  /// Time after which another node takes over from a holder that writes nothing.
  std::chrono::milliseconds TakeoverDelay() const { return 2 * heartbeat + notice_delay; }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_OPTIONS_H_
