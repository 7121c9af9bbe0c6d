#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_RECORD_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_RECORD_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/rollout/rollout_state.h"

namespace damaskroute {

/// The rollout of a service as recorded in the store by the node that decides, the holder. It
/// outlives the order, so that the decision holds for nodes that start later.
struct RolloutRecord {
  Revision order = 0;  ///< Store revision of the order.
  std::string target_version;
  RolloutState state = RolloutState::kRunning;
  std::chrono::milliseconds age{};  ///< Upper bound of the order's age when this was written.
  NodeName holder;
  std::optional<std::string> promoted;  ///< The version promoted last.
  std::vector<std::string> excluded;    ///< Versions that get no calls until they are ordered.

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_RECORD_H_
