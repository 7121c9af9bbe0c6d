#ifndef DAMASKROUTE_FORWARD_BACKEND_H_
#define DAMASKROUTE_FORWARD_BACKEND_H_

#include "damaskroute/forward/backend_call_stats.h"
#include "damaskroute/forward/backend_rate_limit.h"
#include "damaskroute/forward/cold_gate.h"
#include "damaskroute/routing/backend_entry.h"

namespace damaskroute {

/// One incarnation of a backend server and this node's view of it. Shared with the calls in
/// progress, which may outlive its entry in the table.
struct Backend {
  BackendEntry entry;
  BackendCallStats call_stats;
  ColdGate cold;
  bool may_have_restarted = false;  ///< It was unreachable, and no newer entry is known.
  int max_outstanding = 1;          ///< Limit of this node's concurrent calls.
  int max_idle_connections = 1;     ///< Limit of this node's idle connections.
  bool gone = false;                ///< Its entry was removed or replaced.
  bool misdirected = false;         ///< Another server responded at its address.
  bool leaving = false;             ///< Reported in a response; set until the next incarnation.
  BackendRateLimit rate_limit;      ///< Stated in its responses.
  TimePoint lost_at;                ///< When a connection was lost during a call, latest.
  TimePoint answered_at;            ///< When the latest call began that was answered.
  TimePoint backoff_until;          ///< End of the backoff that the server requested (Retry-After).
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_BACKEND_H_
