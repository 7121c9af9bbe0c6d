#ifndef DAMASKROUTE_CONFIG_DIFFERENCE_H_
#define DAMASKROUTE_CONFIG_DIFFERENCE_H_

#include <vector>

#include "damaskroute/config/config_change.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute {

/// Differences that lead from `from` to `to`, ordered by zones, services with their backend
/// servers, fronts, and by name within each. Revision and change id are not compared. A backend
/// server that changes its service is removed from one and joins the other.
std::vector<ConfigChange> Difference(const ConfigDocument& from, const ConfigDocument& to);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_DIFFERENCE_H_
