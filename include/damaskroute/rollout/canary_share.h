#ifndef DAMASKROUTE_ROLLOUT_CANARY_SHARE_H_
#define DAMASKROUTE_ROLLOUT_CANARY_SHARE_H_

#include <cstdint>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// A node's limit of calls to the version under rollout: a fixed part of its own calls to the
/// service, plus its part of the calls that are allowed beside the share. The sum over all nodes
/// stays within the limits without messages between them.
class CanaryShare {
 public:
  /// `share` and `slack`: limits over all nodes. The slack is spread over the time from `start` to
  /// `end`, so that a version which turns bad late is noticed.
  CanaryShare(double share, double slack, TimePoint start, TimePoint end)
      : share_(share), slack_(slack), start_(start), end_(end) {}

  /// Sets the number of nodes that share the slack, and how many precede this one.
  void SetNodes(int nodes, int position) {
    nodes_ = nodes;
    position_ = position;
  }

  /// Whether a call may go to the target version.
  bool Allows(TimePoint now) const;

  void OnSent(bool target) {
    ++calls_;
    if (target) ++target_calls_;
  }

  std::int64_t calls() const { return calls_; }
  std::int64_t target_calls() const { return target_calls_; }

 private:
  std::int64_t SlackAt(TimePoint now) const;

  double share_;
  double slack_;
  TimePoint start_;
  TimePoint end_;
  int nodes_ = 1;
  int position_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t target_calls_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_CANARY_SHARE_H_
