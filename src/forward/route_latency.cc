#include "damaskroute/forward/route_latency.h"

#include <algorithm>

namespace damaskroute {
namespace {

// A call of a query takes about a seventh of the route's objective or less.
constexpr double kObjectiveFraction = 0.15;

constexpr std::chrono::milliseconds kDefaultLatency{20};
constexpr std::chrono::microseconds kMinLatency{500};

// Number of calls in the moving average; longer than that of a single server.
constexpr int kMaxSamples = 200;

}  // namespace

RouteLatency::RouteLatency(std::chrono::milliseconds objective)
    : mean_(objective.count() > 0
                ? std::chrono::duration_cast<Duration>(objective * kObjectiveFraction)
                : Duration(kDefaultLatency)) {}

void RouteLatency::Add(Duration latency) {
  samples_ = std::min(samples_ + 1, kMaxSamples);
  mean_ = std::max<Duration>(mean_ + (latency - mean_) / samples_, kMinLatency);
}

}  // namespace damaskroute
