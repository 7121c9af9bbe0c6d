#include "damaskroute/roster/roster.h"

#include <algorithm>

namespace damaskroute {

const Seat* Roster::Find(const NodeName& node) const {
  auto it =
      std::lower_bound(seats.begin(), seats.end(), node,
                       [](const Seat& seat, const NodeName& name) { return seat.node < name; });
  return it == seats.end() || it->node != node ? nullptr : &*it;
}

}  // namespace damaskroute
