#ifndef DAMASKROUTE_FORWARD_BACKEND_H_
#define DAMASKROUTE_FORWARD_BACKEND_H_

#include "damaskroute/forward/backend_evidence.h"
#include "damaskroute/forward/cold_gate.h"
#include "damaskroute/routing/backend_entry.h"

namespace damaskroute {

/// One incarnation of a backend server with all that this node believes of it. Shared with the
/// calls that are on their way to it, which may outlive its entry.
struct Backend {
  BackendEntry entry;
  BackendEvidence evidence;
  ColdGate cold;
  int max_outstanding = 1;   ///< Calls of this node that may run at the same time.
  int max_kept = 1;          ///< Connections of this node that may stay open without a call.
  bool gone = false;         ///< Its entry was removed or replaced.
  bool misdirected = false;  ///< Another server answered at its address, so it is gone.
  bool leaving = false;      ///< It said so in an answer; holds until it starts anew.
  TimePoint quiet_until;     ///< It asked this node for no more requests until then.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_H_
