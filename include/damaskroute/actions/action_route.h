#ifndef DAMASKROUTE_ACTIONS_ACTION_ROUTE_H_
#define DAMASKROUTE_ACTIONS_ACTION_ROUTE_H_

#include <cstdint>
#include <optional>

#include "damaskroute/actions/action_id.h"

namespace damaskroute {

/// How a node handles a request for an action id.
enum class ActionRoute : std::uint8_t {
  kLocal,       ///< Issued by this process; use the `ActionLedger`.
  kForward,     ///< Forward to the issuer's incarnation.
  kMayHaveRun,  ///< Answer `may_have_run`: only the issuer knows the outcome.
};

/// Decides how to handle an id. `known` is the issuer's incarnation in this node's membership view,
/// nullopt if the issuer is unknown or unreachable.
///
/// The result is never `not_run`, even if the request cannot be forwarded, because the action may
/// already have run through another node. A forwarding node answers `may_have_run` whenever it gets
/// no reply from the issuer.
ActionRoute RouteAction(const ActionId& id, const NodeName& self, Incarnation incarnation,
                        std::optional<Incarnation> known);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ACTIONS_ACTION_ROUTE_H_
