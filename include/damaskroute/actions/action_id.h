#ifndef DAMASKROUTE_ACTIONS_ACTION_ID_H_
#define DAMASKROUTE_ACTIONS_ACTION_ID_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Identifies an action and its issuer, the only process that may run it. A restarted node has a
/// new incarnation, so its ids differ from those of its earlier processes.
struct ActionId {
  NodeName issuer;
  Incarnation incarnation = 0;
  std::uint64_t counter = 0;  ///< Starts at 1.

  friend auto operator<=>(const ActionId&, const ActionId&) = default;
};

/// Longest node name that an action id may contain.
inline constexpr std::size_t kMaxIssuerLength = 64;

/// Text form `COUNTER.INCARNATION.ISSUER`, numbers in decimal.
std::string FormatActionId(const ActionId& id);

/// Parses the text form. Returns InvalidArgument unless the text is exactly the output of
/// `FormatActionId` for an issuer of letters, digits, `.`, `_` and `-`.
absl::StatusOr<ActionId> ParseActionId(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_ACTIONS_ACTION_ID_H_
