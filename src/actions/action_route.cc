#include "damaskroute/actions/action_route.h"

namespace damaskroute {

ActionRoute RouteAction(const ActionId& id, const NodeName& self, Incarnation incarnation,
                        std::optional<Incarnation> known) {
  if (id.issuer == self) {
    return id.incarnation == incarnation ? ActionRoute::kLocal : ActionRoute::kMayHaveRun;
  }
  // A smaller known incarnation means that the membership view lags; the receiver checks again.
  return known && *known <= id.incarnation ? ActionRoute::kForward : ActionRoute::kMayHaveRun;
}

}  // namespace damaskroute
