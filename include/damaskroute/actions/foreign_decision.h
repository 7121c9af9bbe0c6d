#ifndef DAMASKROUTE_ACTIONS_FOREIGN_DECISION_H_
#define DAMASKROUTE_ACTIONS_FOREIGN_DECISION_H_

#include <cstdint>
#include <optional>

#include "damaskroute/actions/action_id.h"

namespace damaskroute {

/// What a node does with an action id.
enum class ForeignDecision : std::uint8_t {
  kOwn,         ///< This process issued it: ask the `ActionLedger`.
  kForward,     ///< Forward to the issuer's incarnation.
  kMayHaveRun,  ///< Answer `may_have_run`: only the issuer could know.
};

/// Decides about an id. `known` is the issuer's incarnation by this node's membership, nullopt if
/// the issuer is unknown or unreachable.
///
/// There is no outcome `not_run`, not even if the forward cannot be sent: the id may have run
/// through another node before. A node that forwards answers `may_have_run` whenever it has no
/// reply of the issuer.
ForeignDecision DecideForeign(const ActionId& id, const NodeName& self, Incarnation incarnation,
                              std::optional<Incarnation> known);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ACTIONS_FOREIGN_DECISION_H_
