#ifndef DAMASKROUTE_CRASHGUARD_BLOCKED_REQUEST_H_
#define DAMASKROUTE_CRASHGUARD_BLOCKED_REQUEST_H_

#include "damaskroute/crashguard/crash_record.h"

namespace damaskroute {

/// A request that is blocked, since backend servers crashed while they ran it.
struct BlockedRequest {
  CrashRecord record;
  bool lost_here = false;  ///< Whether this node has seen one of the losses.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_BLOCKED_REQUEST_H_
