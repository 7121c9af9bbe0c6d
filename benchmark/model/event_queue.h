#ifndef BENCHMARK_MODEL_EVENT_QUEUE_H_
#define BENCHMARK_MODEL_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "damaskroute/core/time.h"

namespace damaskroute::model {

/// Clock of the simulation: runs events in the order of their times, and in the order of their
/// insertion if the times are equal.
class EventQueue {
 public:
  using Event = std::function<void()>;

  TimePoint Now() const { return clock_.Now(); }

  void ScheduleAt(TimePoint time, Event event) {
    events_.emplace(std::pair(std::max(time, Now()), next_++), std::move(event));
  }
  void ScheduleAfter(Duration span, Event event) { ScheduleAt(Now() + span, std::move(event)); }

  /// Runs all events up to `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto node = events_.extract(events_.begin());
      clock_.Advance(node.key().first - Now());
      node.mapped()();
    }
    if (end > Now()) clock_.Advance(end - Now());
  }

 private:
  ManualClock clock_;
  std::uint64_t next_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> events_;
};

}  // namespace damaskroute::model

#endif  // BENCHMARK_MODEL_EVENT_QUEUE_H_
