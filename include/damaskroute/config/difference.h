#ifndef DAMASKROUTE_CONFIG_DIFFERENCE_H_
#define DAMASKROUTE_CONFIG_DIFFERENCE_H_

#include <vector>

#include "damaskroute/config/config_change.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute {

/// Changes that turn `from` into `to`: zones, then services with their backend servers, then
/// fronts, each sorted by name. Revision and change id are not compared. A backend server that
/// moves to another service is reported as removed from one and joining the other.
std::vector<ConfigChange> Difference(const ConfigDocument& from, const ConfigDocument& to);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_DIFFERENCE_H_
