#include "damaskroute/roster/roster.h"

#include <algorithm>

namespace damaskroute {

const Seat* Roster::Find(const NodeName& node) const {
  auto it =
      std::find_if(seats.begin(), seats.end(), [&](const Seat& seat) { return seat.node == node; });
  return it == seats.end() ? nullptr : &*it;
}

}  // namespace damaskroute
