#include "damaskroute/rollout/rollout_state.h"

namespace damaskroute {

const char* RolloutStateName(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kPromoting:
      return "promoting";
    case RolloutState::kRollingBack:
      return "rolling_back";
    case RolloutState::kWithdrawn:
      return "withdrawn";
    case RolloutState::kRolledBack:
      return "rolled_back";
    case RolloutState::kSucceeded:
      break;
  }
  return "succeeded";
}

std::optional<RolloutState> ParseRolloutState(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(RolloutState::kSucceeded); ++i) {
    auto state = static_cast<RolloutState>(i);
    if (name == RolloutStateName(state)) return state;
  }
  return std::nullopt;
}

}  // namespace damaskroute
