#ifndef DAMASKROUTE_SHARES_SHARE_TABLE_H_
#define DAMASKROUTE_SHARES_SHARE_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/placement/placement.h"
#include "damaskroute/roster/roster.h"
#include "damaskroute/shares/share_action.h"
#include "damaskroute/shares/share_table_options.h"

namespace damaskroute {

/// Decides what this node may use of each backend server, such that the sum over all nodes never
/// exceeds the configured limits. docs/shares.md states the protocol and why it is safe.
///
/// Each half of a backend server's limits is a token that one node has at a time. A node uses a
/// token while its own placement names it as the owner; otherwise it sends the token to the owner
/// (`ShareRelease`) once its calls and connections fit into what it keeps. An owner that gets no
/// release claims the token: all seats of the roster must state that they do not have it.
///
/// Requires of the roster: revisions are totally ordered, a seat is removed only when its process
/// has ended for at least the longest call, or has left with `Idle()`. Not thread-safe; actions
/// are to be executed in order.
class ShareTable {
 public:
  using Actions = std::vector<ShareAction>;

  explicit ShareTable(ShareTableOptions options) : options_(std::move(options)) {}

  /// New configuration or roster. `roster` is the one `placement` was made of, sorted by node.
  /// Ignored if either revision is smaller than the current one.
  Actions OnPlacement(std::shared_ptr<const Placement> placement,
                      std::shared_ptr<const Roster> roster, TimePoint now);

  /// Message from `from`, in any order, any number of times.
  Actions OnMessage(const NodeName& from, const ShareMessage& message, TimePoint now);

  /// Calls and connections of the backend server are within the limit of `SetLimit::sequence`.
  Actions OnWithinLimit(const BackendName& backend, std::uint64_t sequence, TimePoint now);

  Actions OnTimer(TimePoint now);

  /// What this node may use now.
  Share LimitOf(const BackendName& backend) const;

  /// Whether this process has a seat in the roster, and so takes part.
  bool Active() const { return active_; }

  /// Has no share that another node could take, waits for no acknowledgement, and no call of a
  /// predecessor can run: a leaving node may remove its seat. A node that must end earlier leaves
  /// its seat in the roster; a seat removed too early lets others claim shares on which calls still
  /// run.
  bool Idle(TimePoint now) const;

  /// Text of the whole state without times; for tests and the status page.
  std::string DebugString() const;

 private:
  struct Outgoing {
    NodeName to;
    ShareRelease release;
    TimePoint due;
    Duration retry{};
  };
  struct Claim {
    ShareEpoch epoch;
    std::vector<bool> promised;  // By position in the roster.
    std::size_t missing = 0;
    TimePoint due;
    Duration retry{};
  };
  struct HalfState {
    bool held = false;
    // Greatest epoch accepted, sent or promised to others; a release at or below it is out of date.
    ShareEpoch floor;
    ShareEpoch highest;  // Greatest epoch known, own claims included.
    Revision config = 0;
    Revision roster = 0;  // A received token is not passed on under an earlier placement.
    std::optional<Outgoing> outgoing;
    std::optional<Claim> claim;
    std::optional<TimePoint> claim_at;  // Start of the next claim.
    Duration claim_wait{};
  };
  struct BackendState {
    std::array<HalfState, 2> halves;
    Share limit;
    std::uint64_t sequence = 0;   // Of the last `SetLimit`.
    std::uint64_t confirmed = 0;  // Of the last `OnWithinLimit`.
  };

  BackendState& StateOf(const BackendName& backend);
  bool Quiet(TimePoint now) const;
  void Expel(Actions& actions);
  /// Brings limit, releases and claims of one backend server in line with the placement.
  void Settle(const BackendName& backend, BackendState& state, TimePoint now, Actions& actions);
  void Release(const ShareKey& share, HalfState& half, const NodeName& to, TimePoint now,
               Actions& actions);
  void ScheduleClaim(HalfState& half, Duration delay, TimePoint now, Actions& actions);
  void StartClaim(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  void SendClaims(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  void FinishClaim(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  void BackOff(HalfState& half, TimePoint now, Actions& actions);
  void HalfTimer(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  ShareEpoch NextEpoch(const HalfState& half) const;
  void Arm(TimePoint at, Actions& actions);
  static std::optional<TimePoint> DueOf(const HalfState& half);

  void Handle(const NodeName& from, const ShareRelease& release, TimePoint now, Actions& actions);
  void Handle(const NodeName& from, const ShareReleaseAck& ack, TimePoint now, Actions& actions);
  void Handle(const NodeName& from, const ShareClaim& claim, TimePoint now, Actions& actions);
  void Handle(const NodeName& from, const ShareClaimReply& reply, TimePoint now, Actions& actions);

  ShareTableOptions options_;
  std::shared_ptr<const Placement> placement_;
  std::shared_ptr<const Roster> roster_;
  bool active_ = false;
  bool expelled_ = false;  // A process that lost its seat takes no part again.
  std::map<BackendName, BackendState> states_;
  // Greatest epoch of the backend servers that were removed from the configuration, so that their
  // states can be dropped.
  ShareEpoch dropped_;
  std::optional<TimePoint> timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_TABLE_H_
