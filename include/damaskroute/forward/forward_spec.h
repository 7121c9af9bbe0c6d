#ifndef DAMASKROUTE_FORWARD_FORWARD_SPEC_H_
#define DAMASKROUTE_FORWARD_FORWARD_SPEC_H_

#include <cstddef>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/routing/query_plan.h"
#include "damaskroute/routing/route.h"

namespace damaskroute {

/// Parameters of one caller's request for `ForwardRun`.
struct ForwardSpec {
  std::vector<ServiceName> services;  ///< One for a plain request, all shards for a query.
  bool query = false;                 ///< Whether the answer is merged from parts.
  bool idempotent = false;
  int max_attempts = 1;       ///< Limit of backend servers that may run it, per service.
  std::size_t min_parts = 1;  ///< Minimum number of parts in an answer to a query.
  TimePoint deadline;         ///< The caller waits no longer.
  /// When a query is answered without its missing parts to meet its latency objective;
  /// `TimePoint::max()` without an objective.
  TimePoint answer_by = TimePoint::max();
  Duration hedge_after = Duration::max();  ///< Age at which a call is hedged.
};

/// Arrival time and time limits of a request.
struct ForwardTimes {
  TimePoint received;
  TimePoint deadline;  ///< The caller waits no longer.
  /// Part of the latency objective that is reserved for the network delay to the caller and for the
  /// lateness of this node's timers.
  Duration reserved_time{};
};

/// Builds the spec of a plain request on `route`. `service` is the one chosen from the targets.
ForwardSpec MakePlainSpec(const Route& route, const ServiceName& service,
                          const ForwardTimes& times);

/// Builds the spec of a query on a route with shards.
ForwardSpec MakeQuerySpec(const Route& route, const QueryPlan& plan, const ForwardTimes& times);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_FORWARD_SPEC_H_
