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
  /// Limit of waiting calls. With more, the wait exceeds most deadlines.
  std::uint32_t max_queued = 64;
  /// After this many consecutive normal calls a waiting bulk call starts ahead of the next normal
  /// one. Urgent calls always start first.
  std::uint32_t normal_per_bulk = 16;
};

/// A call to be run on the backend server.
struct CallTicket {
  std::uint64_t token = 0;  ///< Unique among the calls that wait or run.
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

/// Bounded queue of a holder for the calls to one backend server (the holder is the node that holds
/// a share of the server's capacity): a state machine that takes events and returns actions. Calls
/// start by priority, then deadline, while fewer than the limit are running. Used by one thread.
class CallQueue {
 public:
  /// `latency` holds the running times of the service's calls at this node; it may be shared with
  /// other queues and must outlive the queue. The limit is initially 0, so no call starts before
  /// `SetLimit`.
  CallQueue(const CallQueueSettings& settings, LatencyQuantiles& latency);

  /// Adds a call, which starts, waits or is refused at once. A call with a token in use is refused.
  std::vector<QueueAction> Enqueue(const CallTicket& ticket, TimePoint now);

  /// Records that a running call ended on the backend server, or that its connection closed.
  /// `answered`: its running time is a valid latency sample of the service. Unknown tokens are
  /// ignored.
  std::vector<QueueAction> OnDone(std::uint64_t token, bool answered, TimePoint now);

  /// Cancels a call that the coordinator no longer needs. A waiting call is removed without an
  /// action, a running one is cancelled once. Unknown tokens are ignored.
  std::vector<QueueAction> Cancel(std::uint64_t token, TimePoint now);

  /// Sets the limit of concurrent calls. Running calls continue when it falls below their number; a
  /// limit of 0 refuses the waiting calls.
  std::vector<QueueAction> SetLimit(std::uint32_t slots, TimePoint now);

  /// Refuses waiting calls that cannot end before their deadline, and cancels running calls past
  /// theirs.
  std::vector<QueueAction> OnTimer(TimePoint now);

  std::size_t queued() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }

 private:
  struct Entry {
    TimePoint deadline;
    std::uint64_t sequence;  // Arrival order breaks ties between deadlines.
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
  using WaitList = std::set<Entry>;

  WaitList& WaitListOf(Priority priority) {
    return wait_lists_[static_cast<std::size_t>(priority)];
  }
  Duration Median() const;
  Duration EstimateWait(std::size_t calls) const;
  std::size_t CallsBefore(const CallTicket& ticket) const;
  bool EvictFor(const CallTicket& ticket, std::vector<QueueAction>& actions);
  void Remove(WaitList& list, WaitList::iterator it);
  void DropExpiring(TimePoint now, std::vector<QueueAction>& actions);
  WaitList* NextWaitList();
  void StartWaiting(TimePoint now, std::vector<QueueAction>& actions);
  void ArmTimer(std::vector<QueueAction>& actions);

  const CallQueueSettings settings_;
  LatencyQuantiles& latency_;
  std::uint32_t limit_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::uint32_t consecutive_normal_ = 0;
  std::array<WaitList, 3> wait_lists_;  // Indexed by priority.
  std::unordered_map<std::uint64_t, std::pair<Priority, WaitList::iterator>> waiting_;
  std::unordered_map<std::uint64_t, Running> running_;
  TimePoint timer_at_ = TimePoint::max();
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ADMISSION_CALL_QUEUE_H_
