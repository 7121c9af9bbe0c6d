#ifndef DAMASKROUTE_ADMISSION_CALL_QUEUE_H_
#define DAMASKROUTE_ADMISSION_CALL_QUEUE_H_

#include <array>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "damaskroute/admission/queue_action.h"
#include "damaskroute/core/priority.h"
#include "damaskroute/core/time.h"
#include "damaskroute/scatter/latency_quantiles.h"

namespace damaskroute {

/// Settings of `CallQueue`.
struct CallQueueSettings {
  /// Calls that may wait. With more, waiting takes longer than most deadlines allow.
  std::uint32_t max_queued = 64;
  /// After this many normal calls in a row a waiting bulk call starts in place of a normal one.
  /// Urgent calls never give way.
  std::uint32_t normal_per_bulk = 16;
};

/// A call that wants to run on the backend server.
struct CallTicket {
  std::uint64_t token = 0;  ///< Unique among the calls that wait or run.
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

/// A holder's bounded queue of calls to one backend server: a state machine that takes events and
/// gives actions. Calls start by priority, then deadline, while fewer than `limit` run. Used by
/// one thread.
class CallQueue {
 public:
  /// `latency` holds the running times of calls of the service at this node; it may be shared with
  /// other queues and outlives the queue. `limit` starts at 0: nothing runs before `SetLimit`.
  CallQueue(const CallQueueSettings& settings, LatencyQuantiles& latency);

  /// A call arrived. It starts, waits or is refused at once. A token in use is refused.
  std::vector<QueueAction> Enqueue(const CallTicket& ticket, TimePoint now);

  /// A started call ended on the backend server, or its connection did. `answered` says that its
  /// running time tells about the latency of the service. Unknown tokens are ignored.
  std::vector<QueueAction> OnDone(std::uint64_t token, bool answered, TimePoint now);

  /// The coordinator no longer needs the call. A waiting call is removed without an action, a
  /// running one is cancelled once. Unknown tokens are ignored.
  std::vector<QueueAction> Cancel(std::uint64_t token, TimePoint now);

  /// Calls that may run at the same time. Running calls go on when the limit sinks below them;
  /// with a limit of 0 the waiting calls are refused.
  std::vector<QueueAction> SetLimit(std::uint32_t slots, TimePoint now);

  /// Refuses waiting calls that have no time left and cancels running calls past their deadline.
  std::vector<QueueAction> OnTimer(TimePoint now);

  std::size_t queued() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }

 private:
  struct Entry {
    TimePoint deadline;
    std::uint64_t sequence;  // First come, first served at equal deadlines.
    std::uint64_t token;
    friend bool operator<(const Entry& a, const Entry& b) {
      return std::tie(a.deadline, a.sequence) < std::tie(b.deadline, b.sequence);
    }
  };
  struct Running {
    TimePoint started;
    TimePoint deadline;
    bool cancelled = false;
  };
  using Line = std::set<Entry>;

  Line& LineOf(Priority priority) { return lines_[static_cast<std::size_t>(priority)]; }
  Duration Median() const;
  Duration WaitBehind(std::size_t calls) const;
  std::size_t CallsBefore(const CallTicket& ticket) const;
  bool MakeRoomFor(const CallTicket& ticket, std::vector<QueueAction>& actions);
  void Remove(Line& line, Line::iterator it);
  void DropHopeless(TimePoint now, std::vector<QueueAction>& actions);
  Line* NextLine();
  void StartWaiting(TimePoint now, std::vector<QueueAction>& actions);
  void ArmTimer(std::vector<QueueAction>& actions);

  const CallQueueSettings settings_;
  LatencyQuantiles& latency_;
  std::uint32_t limit_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::uint32_t normal_in_a_row_ = 0;
  std::array<Line, 3> lines_;  // By priority.
  std::unordered_map<std::uint64_t, std::pair<Priority, Line::iterator>> waiting_;
  std::unordered_map<std::uint64_t, Running> running_;
  TimePoint timer_at_ = TimePoint::max();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ADMISSION_CALL_QUEUE_H_
