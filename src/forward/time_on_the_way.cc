#include "damaskroute/forward/time_on_the_way.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Assumed while the kernel has no sample; two hosts of one region.
constexpr std::chrono::microseconds kUnknownRoundTrip{2000};

}  // namespace

Duration TimeOnTheWay(const CallerWay& way, std::chrono::milliseconds objective) {
  Duration round_trip = way.round_trip.count() > 0 ? way.round_trip : kUnknownRoundTrip;
  int trips = way.opened_connection ? 2 : 1;
  return std::min<Duration>(round_trip * trips, objective / 2);
}

}  // namespace damaskroute
