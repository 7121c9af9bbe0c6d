#ifndef DAMASKROUTE_MEMBERSHIP_SWIM_STATE_H_
#define DAMASKROUTE_MEMBERSHIP_SWIM_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/membership/member.h"
#include "damaskroute/membership/swim_action.h"
#include "damaskroute/membership/swim_options.h"
#include "damaskroute/membership/update_queue.h"

namespace damaskroute {

/// Failure detector and member table of one node after Das, Gupta and Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", 2002. Uses no sockets and
/// clocks: the owner passes events with their time and carries out the returned actions.
class SwimState {
 public:
  /// `self.state` must be `kAlive`. `seed` should differ between nodes.
  SwimState(Member self, SwimOptions options, std::uint64_t seed);

  /// Starts probing, and joins through the seeds, which are endpoints of peers that need not be
  /// running.
  SwimActions Start(TimePoint now, std::vector<Endpoint> seeds);

  /// Must be called at `NextTimer()` or soon after.
  SwimActions OnTimer(TimePoint now);

  /// Handles a datagram that is authentic and not replayed.
  SwimActions OnDatagram(TimePoint now, const PeerDatagram& datagram);

  /// Handles a request for the whole table; the reply is `FullState()`.
  SwimActions OnMembersPull(TimePoint now, const Member& sender);

  /// Handles the reply to a `PullMembers`.
  SwimActions OnMembersData(TimePoint now, const std::vector<Member>& members);

  /// Notifies some members that this node is shutting down, and stops probing.
  SwimActions Leave(TimePoint now);

  /// Sets the revisions that all further datagrams carry. `store_contact` is the last time at
  /// which, as far as this node knows, the store confirmed the configuration revision to any node.
  void SetRevisions(Revision config_revision, Revision roster_revision, TimePoint store_contact);

  TimePoint NextTimer() const;
  const Member& self() const { return self_; }

  /// The entry of another member, or nullptr.
  const Member* Find(const NodeName& node) const;

  /// Number of live members, this node included.
  std::size_t LiveCount() const { return live_.size() + 1; }

  /// All live members except this node, in no particular order.
  std::vector<Member> LiveMembers() const;

  /// The whole table including this node, for a `MembersData`.
  std::vector<Member> FullState() const;

 private:
  struct Entry {
    Member member;
    std::size_t position = 0;  // In `live_` or `gone_`.
    TimePoint deadline;        // End of the suspicion or of the retention.
  };

  // Probe of the current period.
  struct PeriodProbe {
    NodeName target;
    std::uint64_t probe_id = 0;
    TimePoint ack_due;
    bool indirect_probes_sent = false;
  };

  // Probe on behalf of another member.
  struct RelayedProbe {
    std::uint64_t probe_id = 0;
    Endpoint requester;
    std::uint64_t requester_probe_id = 0;
    TimePoint expires;
  };

  void RestartTimeoutsAfterPause(TimePoint now);
  void StartPeriod(TimePoint now, SwimActions& actions);
  void ProbeDead(TimePoint now, SwimActions& actions);
  void SendIndirectProbes(TimePoint now, SwimActions& actions);
  void Join(TimePoint now, SwimActions& actions);
  void Sync(TimePoint now, SwimActions& actions);
  void ExpireSuspicions(TimePoint now, SwimActions& actions);
  void ForgetExpired(TimePoint now, SwimActions& actions);
  void Remove(const NodeName& node, SwimActions& actions);
  const Member* NextTarget();
  void Send(TimePoint now, const Endpoint& to, DatagramKind kind, std::uint64_t probe_id,
            const Endpoint& target, const Member* about, SwimActions& actions);
  void Merge(TimePoint now, const Member& update, SwimActions& actions);
  void MergeSelf(const Member& update, SwimActions& actions);
  void SetState(TimePoint now, Entry& entry, const Member& update, SwimActions& actions);
  void AddToList(Entry& entry);
  void RemoveFromList(const Entry& entry);
  std::size_t RetransmitLimit() const;
  std::chrono::milliseconds StoreAge(TimePoint now) const;

  Member self_;
  SwimOptions options_;
  Random random_;
  bool running_ = false;
  bool joined_ = false;  // A whole member table has been received.
  std::vector<Endpoint> seeds_;
  Revision config_revision_ = 0;
  Revision roster_revision_ = 0;
  TimePoint store_contact_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_probe_id_;
  std::unordered_map<NodeName, Entry> entries_;
  std::vector<NodeName> live_;
  std::vector<NodeName> gone_;  // Members that are dead or have left.
  std::set<std::pair<TimePoint, NodeName>> suspicions_;
  std::vector<NodeName> order_;  // Remaining targets of this round, taken from the back.
  UpdateQueue updates_;
  std::optional<PeriodProbe> probe_;
  std::vector<RelayedProbe> relayed_;
  TimePoint period_end_;
  TimePoint next_dead_probe_;
  TimePoint next_join_;
  TimePoint next_sync_;
  TimePoint next_forget_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_SWIM_STATE_H_
