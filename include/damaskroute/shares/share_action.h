#ifndef DAMASKROUTE_SHARES_SHARE_ACTION_H_
#define DAMASKROUTE_SHARES_SHARE_ACTION_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/placement/share.h"
#include "damaskroute/shares/share_message.h"

namespace damaskroute {

/// Sets what this node may use of a backend server from now on. Idle connections above the limit
/// are closed and running calls end. Once no more calls run and no more connections are open than
/// the limit allows, the owner of the channel reports `ShareTable::OnWithinLimit` with `sequence`.
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

/// Replaces the timer: `ShareTable::OnTimer` is due at `at`.
struct SetShareTimer {
  TimePoint at;
};

using ShareAction = std::variant<SetLimit, SendShareMessage, SetShareTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_ACTION_H_
