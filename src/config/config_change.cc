#include "damaskroute/config/config_change.h"

namespace damaskroute {

std::string_view ChangeKindName(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kZoneAdded:
      return "zone_added";
    case ChangeKind::kZoneRemoved:
      return "zone_removed";
    case ChangeKind::kZoneOut:
      return "zone_out";
    case ChangeKind::kZoneBack:
      return "zone_back";
    case ChangeKind::kZoneChanged:
      return "zone_changed";
    case ChangeKind::kServiceAdded:
      return "service_added";
    case ChangeKind::kServiceRemoved:
      return "service_removed";
    case ChangeKind::kServiceChanged:
      return "service_changed";
    case ChangeKind::kBackendJoins:
      return "backend_joins";
    case ChangeKind::kBackendLeaves:
      return "backend_leaves";
    case ChangeKind::kBackendReturns:
      return "backend_returns";
    case ChangeKind::kBackendRemoved:
      return "backend_removed";
    case ChangeKind::kBackendMoves:
      return "backend_moves";
    case ChangeKind::kBackendLimits:
      return "backend_limits";
    case ChangeKind::kFrontAdded:
      return "front_added";
    case ChangeKind::kFrontRemoved:
      return "front_removed";
    case ChangeKind::kFrontChanged:
      return "front_changed";
    case ChangeKind::kObjectiveChanged:
      return "objective_changed";
  }
  return "unknown";
}

}  // namespace damaskroute
