#ifndef DAMASKROUTE_ACTIONS_ACTION_OUTCOME_H_
#define DAMASKROUTE_ACTIONS_ACTION_OUTCOME_H_

#include <optional>
#include <string>

#include "damaskroute/core/verdict.h"

namespace damaskroute {

/// How an action ended.
struct ActionOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  /// Answer of the backend server; empty if there was none or it was evicted to bound memory.
  std::optional<std::string> answer;

  friend bool operator==(const ActionOutcome&, const ActionOutcome&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ACTIONS_ACTION_OUTCOME_H_
