#include "damaskroute/forward/caller_network_delay.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Assumed until the kernel has a sample; typical for two hosts of one region.
constexpr std::chrono::microseconds kDefaultRoundTrip{2000};

}  // namespace

Duration CallerNetworkDelay(const CallerConnection& connection,
                            std::chrono::milliseconds objective) {
  Duration round_trip =
      connection.round_trip.count() > 0 ? connection.round_trip : kDefaultRoundTrip;
  int round_trips = connection.opened_connection ? 2 : 1;
  return std::min<Duration>(round_trip * round_trips, objective / 2);
}

}  // namespace damaskroute
