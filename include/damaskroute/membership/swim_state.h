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

/// Failure detector and member table of one node, without sockets and clocks: events with their
/// time go in, actions come out. Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
/// Infection-style Process Group Membership Protocol", 2002.
class SwimState {
 public:
  /// `self.state` must be `kAlive`. `seed` should differ between nodes.
  SwimState(Member self, SwimOptions options, std::uint64_t seed);

  /// Starts probing and joins through the seeds, endpoints of peers that may or may not run.
  SwimActions Start(TimePoint now, std::vector<Endpoint> seeds);

  /// To be called at `NextTimer()` or later.
  SwimActions OnTimer(TimePoint now);

  /// Datagram that has passed the checks of tag and replay window.
  SwimActions OnDatagram(TimePoint now, const PeerDatagram& datagram);

  /// Request for the whole table; the answer is `FullState()`.
  SwimActions OnMembersPull(TimePoint now, const Member& sender);

  /// Answer to a `PullMembers`.
  SwimActions OnMembersData(TimePoint now, const std::vector<Member>& members);

  /// Tells some members that this node ends. No probes are sent afterwards.
  SwimActions Leave(TimePoint now);

  /// Revisions carried in all datagrams from now on. `store_contact` is the last time at which the
  /// store, as far as this node knows, confirmed the configuration revision to some node.
  void SetRevisions(Revision config_revision, Revision roster_revision, TimePoint store_contact);

  TimePoint NextTimer() const;
  const Member& self() const { return self_; }

  /// Another member, or nullptr.
  const Member* Find(const NodeName& node) const;

  /// Number of live members, this node included.
  std::size_t LiveCount() const { return live_.size() + 1; }

  /// All live members except this node, in no particular order.
  std::vector<Member> LiveMembers() const;

  /// The table with this node, for a `MembersData`.
  std::vector<Member> FullState() const;

 private:
  struct Entry {
    Member member;
    std::size_t position = 0;  // In `live_` or `gone_`.
    TimePoint deadline;        // Of the suspicion, or for forgetting.
  };

  // The probe of the current period.
  struct OwnProbe {
    NodeName target;
    std::uint64_t number = 0;
    TimePoint ack_due;
    bool asked_others = false;
  };

  // A probe on behalf of another member.
  struct RelayedProbe {
    std::uint64_t number = 0;
    Endpoint requester;
    std::uint64_t requester_number = 0;
    TimePoint expires;
  };

  void AbsorbPause(TimePoint now);
  void StartPeriod(TimePoint now, SwimActions& actions);
  void ProbeDead(TimePoint now, SwimActions& actions);
  void AskOthers(TimePoint now, SwimActions& actions);
  void Join(TimePoint now, SwimActions& actions);
  void Sync(TimePoint now, SwimActions& actions);
  void ExpireSuspicions(TimePoint now, SwimActions& actions);
  void Forget(TimePoint now, SwimActions& actions);
  void Remove(const NodeName& node, SwimActions& actions);
  const Member* NextTarget();
  void Send(TimePoint now, const Endpoint& to, DatagramKind kind, std::uint64_t number,
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
  bool joined_ = false;  // A whole table has been received.
  std::vector<Endpoint> seeds_;
  Revision config_revision_ = 0;
  Revision roster_revision_ = 0;
  TimePoint store_contact_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_number_;
  std::unordered_map<NodeName, Entry> entries_;
  std::vector<NodeName> live_;
  std::vector<NodeName> gone_;
  std::set<std::pair<TimePoint, NodeName>> suspicions_;
  std::vector<NodeName> order_;  // Targets left in this round, taken from the back.
  UpdateQueue updates_;
  std::optional<OwnProbe> probe_;
  std::vector<RelayedProbe> relayed_;
  TimePoint period_end_;
  TimePoint next_dead_probe_;
  TimePoint next_join_;
  TimePoint next_sync_;
  TimePoint next_forget_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_MEMBERSHIP_SWIM_STATE_H_
