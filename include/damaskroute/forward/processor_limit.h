#ifndef DAMASKROUTE_FORWARD_PROCESSOR_LIMIT_H_
#define DAMASKROUTE_FORWARD_PROCESSOR_LIMIT_H_

#include <cstddef>
#include <optional>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Limits the queries that this node runs at once to those that its processor time can answer in
/// time. Refused at once, a caller can still be served by another node; otherwise all queries of
/// the node are late together. Has no effect without a known quota, for a query that is alone, and
/// while the node's timers fire in time.
class ProcessorLimit {
 public:
  /// `cpu_quota`: processor time per time, in cores; absent if unknown.
  explicit ProcessorLimit(std::optional<double> cpu_quota);

  /// Whether a query of `calls` calls can be answered within `time_left`. `timer_delay`: by how
  /// much to expect the node's timers to be late.
  bool Allows(std::size_t calls, Duration time_left, Duration timer_delay, TimePoint now) const;

  /// Records the start of a query; then `OnEnded` must follow.
  void OnStarted(std::size_t calls, TimePoint now);

  /// Records the end of a query that was started with as many calls.
  void OnEnded(std::size_t calls) { unfinished_calls_ -= calls; }

  /// Time that merging takes in addition to what every node reserves; zero while the node's timers
  /// are expected to be in time. `timer_delay`: as for `Allows`.
  Duration ExtraMergeTime(std::size_t parts, Duration timer_delay) const;

 private:
  Duration Backlog(TimePoint now) const;
  Duration TimeFor(std::size_t calls) const;

  std::optional<double> cpu_quota_;
  std::size_t unfinished_calls_ = 0;  // Of the queries in progress.
  TimePoint done_at_;                 // When the work of the started queries is done at the quota.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_PROCESSOR_LIMIT_H_
