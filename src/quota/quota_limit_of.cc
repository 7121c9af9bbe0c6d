#include "damaskroute/quota/quota_limit_of.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

using Seconds = std::chrono::duration<double>;

// Part of the slack that is not used. It covers nodes that joined and are not counted yet.
constexpr double kUnusedSlack = 0.3;

}  // namespace

QuotaLimit QuotaLimitOf(const Tenant& tenant, const QuotaBounds& bounds,
                        std::chrono::milliseconds grant_validity) {
  double burst = std::isfinite(tenant.burst) ? std::max(tenant.burst, 0.0) : 0;
  double window = Seconds(bounds.window).count();
  double slack = (1 - kUnusedSlack) * bounds.slack;
  double allowed = (tenant.rate_per_s * window + burst) * (1 + bounds.overshoot) + slack;
  // The whole burst may come at once, and the slack where that is more.
  double depth = std::max({burst, slack, 1.0});
  // Grants that are used late add the rate of their validity to a window.
  double rate = (allowed - depth) / (window + Seconds(grant_validity).count());
  return {std::max(rate, 0.0), depth};
}

}  // namespace damaskroute
