#ifndef DAMASKROUTE_SHARES_SHARE_MESSAGE_H_
#define DAMASKROUTE_SHARES_SHARE_MESSAGE_H_

#include <cstdint>
#include <variant>

#include "damaskroute/shares/share_epoch.h"
#include "damaskroute/shares/share_key.h"

namespace damaskroute {

/// Transfers a share to the receiver. The sender has stopped using the share and resends the
/// message until it is acknowledged.
struct ShareRelease {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation from = 0;
  Incarnation to = 0;  ///< Process that receives the share; any other process ignores it.
  // Revisions of the placement that made the receiver the owner.
  Revision config = 0;
  Revision roster = 0;

  friend bool operator==(const ShareRelease&, const ShareRelease&) = default;
};

/// Acknowledges a release, whether it was accepted or outdated.
struct ShareReleaseAck {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation to = 0;

  friend bool operator==(const ShareReleaseAck&, const ShareReleaseAck&) = default;
};

/// Queries whether the receiver holds the share, in order to recreate the share after its loss.
struct ShareClaim {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation from = 0;

  friend bool operator==(const ShareClaim&, const ShareClaim&) = default;
};

/// Status of a claim at one node.
enum class ClaimStatus : std::uint8_t {
  kPromised,  ///< Does not hold the share and will not accept it with a smaller epoch.
  kHeld,      ///< Holds the share.
  kOutdated,  ///< Knows a greater epoch.
};

/// Reply to a `ShareClaim`, with the epoch of the claim.
struct ShareClaimReply {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation from = 0;
  Incarnation to = 0;
  ClaimStatus claim_status = ClaimStatus::kOutdated;
  Revision roster = 0;  ///< Roster revision of the sender.
  ShareEpoch highest;   ///< Greatest epoch of the share known to the sender.

  friend bool operator==(const ShareClaimReply&, const ShareClaimReply&) = default;
};

/// Messages of the handover protocol, which tolerates their loss, duplication and reordering.
using ShareMessage = std::variant<ShareRelease, ShareReleaseAck, ShareClaim, ShareClaimReply>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_MESSAGE_H_
