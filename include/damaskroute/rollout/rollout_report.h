#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_REPORT_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_REPORT_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"
#include "damaskroute/rollout/rollout_evidence.h"
#include "damaskroute/rollout/rollout_state.h"

namespace damaskroute {

/// What a node publishes during a rollout.
struct RolloutReport {
  Revision order = 0;               ///< Store revision of the order.
  std::uint64_t process = 0;        ///< Random; differs after a restart of the node.
  std::chrono::milliseconds age{};  ///< Upper bound of the order's age when this was written.
  RolloutState seen = RolloutState::kRunning;  ///< The latest state that the node follows.
  std::int64_t open_calls = 0;  ///< Calls in progress to versions that get no new ones.
  RolloutEvidence evidence;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_REPORT_H_
