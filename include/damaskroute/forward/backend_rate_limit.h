#ifndef DAMASKROUTE_FORWARD_BACKEND_RATE_LIMIT_H_
#define DAMASKROUTE_FORWARD_BACKEND_RATE_LIMIT_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Keeps this node's calls to a backend server within its share of the request rate that the server
/// accepts from all nodes together, as stated in its responses. In any `kWindow` the server may get
/// `kOvershoot` times the stated rate plus `kSlack` requests. Each node uses a fixed share of this,
/// so the sum stays within it without coordination between nodes.
///
/// A node takes calls from a token bucket, and no more than its share in any window. If there are
/// too many nodes for one call per window each, only the first ones, in an order that differs by
/// server, have such a share. The others have turns of one window each, at intervals at which the
/// turns of different nodes hardly overlap, and may send one call in each turn.
class BackendRateLimit {
 public:
  // Set by the rules of the deployment; its settings do not contain them.
  static constexpr std::chrono::seconds kWindow{4};
  static constexpr double kOvershoot = 1.5;
  static constexpr double kSlack = 5;

  static constexpr std::chrono::seconds kReportInterval{20};

  /// `phase`: position of this node's turns in their interval, in [0, 1); random, so that the turns
  /// of the nodes are spread.
  explicit BackendRateLimit(double phase = 0) : phase_(phase) {}

  /// Sets the number of nodes that share the limit.
  void SetNodes(int nodes) { nodes_ = std::max(nodes, 1); }

  /// Sets the number of nodes that precede this one in the server's order of the nodes.
  void SetPosition(int position) { position_ = position; }

  /// Records a response that states `rate`, in requests per second. Returns whether this begins a
  /// limit.
  bool OnStated(double rate, TimePoint now);

  /// Records a response, to a call that was sent at `sent`, that states no rate. Returns whether
  /// this ends a limit. Calls that were sent before the last statement do not end it, because their
  /// responses may be older.
  bool OnNotStated(TimePoint sent);

  /// Records a call to the server.
  void OnSent(TimePoint now);

  /// Whether a call may be sent now.
  bool Allows(TimePoint now) const { return AllowedAt(now) <= now; }

  /// Whether a hedged call may be sent now: only with calls to spare, so that hedges do not cause
  /// refusals.
  bool AllowsHedge(TimePoint now) const;

  /// Earliest time from `now` on at which a call may be sent if none is sent before.
  TimePoint AllowedAt(TimePoint now) const;

  /// Requests per second from all nodes; nothing without a limit.
  const std::optional<double>& rate() const { return rate_; }

  /// Calls within the last `kWindow` while the limit was in effect.
  std::size_t CallsInWindow(TimePoint now) const;

  /// Whether an existing limit is to be logged again; true at most once in `kReportInterval`.
  bool IsReportDue(TimePoint now);

 private:
  double MaxCallsInWindow() const;  // Of all nodes.
  int CallsPerWindow() const;       // This node's share.
  double TokensPerSecond() const;
  double MaxTokens() const;
  double TokensAt(TimePoint now) const;
  TimePoint NextTokenAt(TimePoint now) const;
  int FirstNodes() const;
  TimePoint NextInWindowAt(int max_calls, TimePoint now) const;
  TimePoint NextTurnAt(TimePoint now) const;
  void SettleTokens(TimePoint now);

  double phase_;
  int nodes_ = 1;
  int position_ = 0;
  std::optional<double> rate_;
  TimePoint stated_at_;
  TimePoint next_report_;
  double tokens_ = 0;  // At `tokens_at_`.
  TimePoint tokens_at_;
  std::deque<TimePoint> recent_;  // Calls within the last window, ascending.
  TimePoint last_sent_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_RATE_LIMIT_H_
