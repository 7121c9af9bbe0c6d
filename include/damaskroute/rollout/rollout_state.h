#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_STATE_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_STATE_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskroute {

/// State of a rollout, in the order in which it advances: a state never changes to an earlier one
/// of the same order.
enum class RolloutState : std::uint8_t {
  kRunning,      ///< The target version gets calls within the canary share.
  kPromoting,    ///< Decided: all calls go to the target version; old servers still run.
  kRollingBack,  ///< Decided: no call goes to the target version; nodes confirm it.
  kWithdrawn,    ///< The operator removed the order before a decision.
  kRolledBack,
  kSucceeded,
};

/// Whether the rollout has ended.
inline bool IsFinal(RolloutState state) { return state >= RolloutState::kWithdrawn; }

/// Name in the store and in logs.
const char* RolloutStateName(RolloutState state);

/// Nothing if `name` is no name of a state.
std::optional<RolloutState> ParseRolloutState(std::string_view name);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_STATE_H_
