#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_EVENT_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_EVENT_H_

#include <chrono>
#include <string>

#include "damaskroute/rollout/rollout_verdict.h"

namespace damaskroute {

/// A change of a rollout on a node, for the log.
struct RolloutEvent {
  const char* message = "";
  std::string reason;
  std::string target_version;
  std::chrono::milliseconds age{};  ///< Of the order.
  VerdictResult verdict;            ///< The numbers at that time.
  bool warning = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_EVENT_H_
