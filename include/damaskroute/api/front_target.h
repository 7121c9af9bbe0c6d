#ifndef DAMASKROUTE_API_FRONT_TARGET_H_
#define DAMASKROUTE_API_FRONT_TARGET_H_

#include <optional>
#include <string_view>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Components of a request path below `/v1/fronts/`.
struct FrontTarget {
  FrontName front;
  std::string_view operation;  ///< `query`, `actions` or `action-ids`; not validated here.
};

/// Splits `/v1/fronts/FRONT/OPERATION`; returns nullopt for any other path. Ignores a query
/// string.
std::optional<FrontTarget> ParseFrontTarget(std::string_view target);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_FRONT_TARGET_H_
