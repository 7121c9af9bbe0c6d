#ifndef DAMASKROUTE_SHARES_SHARE_MESSAGE_H_
#define DAMASKROUTE_SHARES_SHARE_MESSAGE_H_

#include <cstdint>
#include <variant>

#include "damaskroute/shares/share_epoch.h"
#include "damaskroute/shares/share_key.h"

namespace damaskroute {

/// Moves a share to the receiver. The sender has stopped using it for good, and repeats the
/// message until it is acknowledged.
struct ShareRelease {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation from = 0;
  Incarnation to = 0;  ///< Process for which the share is meant; any other one ignores it.
  Revision config = 0;
  Revision roster = 0;  ///< Placement by which the receiver is the owner.

  friend bool operator==(const ShareRelease&, const ShareRelease&) = default;
};

/// Says that a release arrived, whether it was accepted or was out of date.
struct ShareReleaseAck {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation to = 0;

  friend bool operator==(const ShareReleaseAck&, const ShareReleaseAck&) = default;
};

/// Asks whether the receiver has the share, in order to create it anew after a loss.
struct ShareClaim {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation from = 0;

  friend bool operator==(const ShareClaim&, const ShareClaim&) = default;
};

/// Answer to a claim.
enum class ClaimStanding : std::uint8_t {
  kPromised,  ///< Does not have the share and will not accept it with a smaller epoch.
  kHeld,      ///< Has the share.
  kOutdated,  ///< Knows a greater epoch.
};

/// Answer to a `ShareClaim`, with the claim's epoch.
struct ShareClaimReply {
  ShareKey share;
  ShareEpoch epoch;
  Incarnation from = 0;
  Incarnation to = 0;
  ClaimStanding standing = ClaimStanding::kOutdated;
  Revision roster = 0;  ///< Roster revision of the sender.
  ShareEpoch highest;   ///< Greatest epoch of the share that the sender knows.

  friend bool operator==(const ShareClaimReply&, const ShareClaimReply&) = default;
};

/// Messages of the handover protocol. All tolerate loss, duplication and reordering.
using ShareMessage = std::variant<ShareRelease, ShareReleaseAck, ShareClaim, ShareClaimReply>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_MESSAGE_H_
