#ifndef DAMASKROUTE_SHARES_SHARE_ACTION_H_
#define DAMASKROUTE_SHARES_SHARE_ACTION_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/placement/share.h"
#include "damaskroute/shares/share_message.h"

namespace damaskroute {

/// Sets the share of a backend server that this node may use from now on. Idle connections above
/// the limit are closed; running calls may finish. Once running calls and open connections are
/// within the limit, the owner of the channel calls `ShareTable::OnWithinLimit` with `sequence`.
struct SetLimit {
  BackendName backend;
  Share limit;
  std::uint64_t sequence = 0;
};

/// Sends a message to a node.
struct SendShareMessage {
  NodeName to;
  ShareMessage message;
};

/// Schedules `ShareTable::OnTimer` at `at`. Replaces the previous timer.
struct SetShareTimer {
  TimePoint at;
};

using ShareAction = std::variant<SetLimit, SendShareMessage, SetShareTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_ACTION_H_
