#include "damaskroute/forward/route_latency.h"

#include <algorithm>

namespace damaskroute {
namespace {

// A call of a query takes a seventh of its objective or less on the deployments served.
constexpr double kObjectivePart = 0.15;

constexpr std::chrono::milliseconds kUnknown{20};
constexpr std::chrono::microseconds kLeast{500};

// Calls over which the average runs; longer than the memory of a single server.
constexpr int kSamples = 200;

}  // namespace

RouteLatency::RouteLatency(std::chrono::milliseconds objective)
    : usual_(objective.count() > 0
                 ? std::chrono::duration_cast<Duration>(objective * kObjectivePart)
                 : Duration(kUnknown)) {}

void RouteLatency::Add(Duration latency) {
  samples_ = std::min(samples_ + 1, kSamples);
  usual_ = std::max<Duration>(usual_ + (latency - usual_) / samples_, kLeast);
}

}  // namespace damaskroute
