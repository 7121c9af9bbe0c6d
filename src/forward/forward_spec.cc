#include "damaskroute/forward/forward_spec.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Fraction of the latency objective after which a call is hedged. Values from 0.25 to 0.40 perform
// alike.
constexpr double kHedgeAfterFraction = 0.33;
// Higher for plain requests, which vary more in their cost and make one call instead of many.
constexpr double kPlainHedgeAfterFraction = 0.5;

// Time reserved for merging the part of one shard and ending its call: 20 us on a third of a core.
constexpr std::chrono::microseconds kMergeTimePerShard{60};

Duration FractionOf(std::chrono::milliseconds whole, double fraction) {
  return std::chrono::duration_cast<Duration>(whole * fraction);
}

}  // namespace

ForwardSpec MakePlainSpec(const Route& route, const ServiceName& service,
                          const ForwardTimes& times) {
  ForwardSpec spec;
  spec.services = {service};
  spec.idempotent = route.idempotent;
  spec.max_attempts = std::max(route.max_attempts, 1);
  spec.deadline = times.deadline;
  if (route.objective.count() > 0) {
    spec.hedge_after = FractionOf(route.objective, kPlainHedgeAfterFraction);
    spec.answer_by = times.received + route.objective - times.reserved_time;
  }
  return spec;
}

ForwardSpec MakeQuerySpec(const Route& route, const QueryPlan& plan, const ForwardTimes& times) {
  ForwardSpec spec;
  spec.query = true;
  spec.services = route.shards;
  spec.idempotent = true;
  spec.max_attempts = std::max(route.max_attempts, 1);
  spec.min_parts = plan.min_required_parts;
  spec.deadline = times.deadline;
  if (route.objective.count() > 0) {
    spec.hedge_after = FractionOf(route.objective, kHedgeAfterFraction);
    auto shards = static_cast<std::int64_t>(route.shards.size());
    spec.answer_by =
        times.received + route.objective - times.reserved_time - shards * kMergeTimePerShard;
  }
  return spec;
}

}  // namespace damaskroute
