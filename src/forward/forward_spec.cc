#include "damaskroute/forward/forward_spec.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

// Part of the latency objective after which a call is late. Of the values tried between 0.25 and
// 0.40 on the users' deployments none was clearly better.
constexpr double kCopyAfterPart = 0.33;
// Plain requests have a wider spread of work, and one call in place of many.
constexpr double kPlainCopyAfterPart = 0.5;

// Time kept for the way back to the caller: two one-way delays of 1 ms, and the scheduling delay of
// a small machine.
constexpr std::chrono::milliseconds kReturnTime{5};

// Time kept for merging the part of one shard and ending its call: 20 us on a third of a core.
constexpr std::chrono::microseconds kReturnTimePerShard{60};

// Rounding error of the share of parts.
constexpr double kShareEpsilon = 1e-9;

Duration Part(std::chrono::milliseconds whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

}  // namespace

ForwardSpec MakeForwardSpec(const Route& route, const ServiceName& service, TimePoint received,
                            TimePoint deadline) {
  ForwardSpec spec;
  spec.query = !route.shards.empty();
  spec.services = spec.query ? route.shards : std::vector<ServiceName>{service};
  spec.idempotent = route.idempotent || spec.query;
  spec.max_attempts = std::max(route.max_attempts, 1);
  spec.deadline = deadline;
  if (route.objective.count() > 0) {
    spec.copy_after = Part(route.objective, spec.query ? kCopyAfterPart : kPlainCopyAfterPart);
    auto shards = static_cast<std::int64_t>(route.shards.size());
    spec.answer_by = received + route.objective - kReturnTime - shards * kReturnTimePerShard;
  }
  if (spec.query) {
    double least = route.min_coverage * static_cast<double>(route.shards.size());
    spec.min_parts = static_cast<std::size_t>(std::max(1.0, std::ceil(least - kShareEpsilon)));
  }
  return spec;
}

}  // namespace damaskroute
