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

/// Tracks the shares of the backend servers that this node may use, such that the sum over all
/// nodes never exceeds the configured limits. docs/shares.md describes the protocol and its safety
/// proof.
///
/// Each half of a backend server's limits is a token that one node holds at a time. A node uses a
/// token while its local placement makes it the owner; otherwise it sends the token to the owner
/// (`ShareRelease`) once its calls and connections fit into its remaining share. An owner that
/// receives no release claims the token: all nodes of the roster must reply that they do not hold
/// it.
///
/// Requirements on the roster: revisions are totally ordered, and a roster entry is removed only if
/// its process ended at least the duration of the longest call ago, or left after `ReadyToLeave()`.
/// Not thread-safe. Actions must be executed in order.
class ShareTable {
 public:
  using Actions = std::vector<ShareAction>;

  explicit ShareTable(ShareTableOptions options) : options_(std::move(options)) {}

  /// Applies a new configuration or roster. `placement` was computed from `roster`, which is sorted
  /// by node. Ignored if either revision is smaller than the current one.
  Actions OnPlacement(std::shared_ptr<const Placement> placement,
                      std::shared_ptr<const Roster> roster, TimePoint now);

  /// Handles a message from `from`. Messages may be reordered and duplicated.
  Actions OnMessage(const NodeName& from, const ShareMessage& message, TimePoint now);

  /// The calls and connections of the backend server are within the limit that `SetLimit` with this
  /// `sequence` set.
  Actions OnWithinLimit(const BackendName& backend, std::uint64_t sequence, TimePoint now);

  Actions OnTimer(TimePoint now);

  /// Share of the backend server that this node may use now.
  Share LimitOf(const BackendName& backend) const;

  /// Whether this process is in the roster and therefore takes part in the protocol.
  bool Active() const { return active_; }

  /// Whether a leaving node may remove its roster entry: it holds no share that another node could
  /// take, waits for no acknowledgement, and no call of an earlier process of this node can still
  /// run. A node that must end earlier leaves its entry in the roster, because removing it would
  /// let other nodes claim shares that running calls still use.
  bool ReadyToLeave(TimePoint now) const;

  /// Text of the complete state without times, for tests and the status page.
  std::string DebugString() const;

 private:
  struct Outgoing {
    NodeName to;
    ShareRelease release;
    TimePoint due;
    Duration retry_delay{};
  };
  struct Claim {
    ShareEpoch epoch;
    std::vector<bool> promised;  // By position in the roster.
    std::size_t missing_promises = 0;
    TimePoint due;
    Duration retry_delay{};
  };
  struct HalfState {
    bool held = false;
    // Greatest epoch accepted, sent or promised to others. Releases up to it are outdated.
    ShareEpoch floor;
    ShareEpoch highest;  // Greatest known epoch, including local claims.
    Revision config = 0;
    Revision roster = 0;  // A received token is not released under an earlier placement.
    std::optional<Outgoing> outgoing;
    std::optional<Claim> claim;
    std::optional<TimePoint> claim_at;  // Start of the next claim.
    Duration claim_backoff{};
  };
  struct BackendState {
    std::array<HalfState, 2> halves;
    Share limit;
    std::uint64_t sequence = 0;   // Of the last `SetLimit`.
    std::uint64_t confirmed = 0;  // Of the last `OnWithinLimit`.
  };

  BackendState& StateOf(const BackendName& backend);
  bool PredecessorCallsMayRun(TimePoint now) const;
  void StopAfterRemoval(Actions& actions);
  // Updates the limit, releases and claims of one backend server to match the placement.
  void Reconcile(const BackendName& backend, BackendState& state, TimePoint now, Actions& actions);
  void Release(const ShareKey& share, HalfState& half, const NodeName& to, TimePoint now,
               Actions& actions);
  void ScheduleClaim(HalfState& half, Duration delay, TimePoint now, Actions& actions);
  void StartClaim(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  void SendClaims(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  void FinishClaim(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  void BackOffClaim(HalfState& half, TimePoint now, Actions& actions);
  void OnHalfTimer(const ShareKey& share, HalfState& half, TimePoint now, Actions& actions);
  ShareEpoch NextEpoch(const HalfState& half) const;
  void ScheduleTimer(TimePoint at, Actions& actions);
  static std::optional<TimePoint> NextDue(const HalfState& half);

  void Handle(const NodeName& from, const ShareRelease& release, TimePoint now, Actions& actions);
  void Handle(const NodeName& from, const ShareReleaseAck& ack, TimePoint now, Actions& actions);
  void Handle(const NodeName& from, const ShareClaim& claim, TimePoint now, Actions& actions);
  void Handle(const NodeName& from, const ShareClaimReply& reply, TimePoint now, Actions& actions);

  ShareTableOptions options_;
  std::shared_ptr<const Placement> placement_;
  std::shared_ptr<const Roster> roster_;
  bool active_ = false;
  bool removed_from_roster_ = false;  // A process removed from the roster never takes part again.
  std::map<BackendName, BackendState> states_;
  // Greatest epoch of the backend servers whose state was dropped after their removal from the
  // configuration.
  ShareEpoch dropped_epoch_;
  std::optional<TimePoint> timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_TABLE_H_
