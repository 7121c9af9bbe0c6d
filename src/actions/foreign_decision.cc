#include "damaskroute/actions/foreign_decision.h"

namespace damaskroute {

ForeignDecision DecideForeign(const ActionId& id, const NodeName& self, Incarnation incarnation,
                              std::optional<Incarnation> known) {
  if (id.issuer == self) {
    return id.incarnation == incarnation ? ForeignDecision::kOwn : ForeignDecision::kMayHaveRun;
  }
  // A smaller known incarnation means that the membership lags; the receiver checks again.
  return known && *known <= id.incarnation ? ForeignDecision::kForward
                                           : ForeignDecision::kMayHaveRun;
}

}  // namespace damaskroute
