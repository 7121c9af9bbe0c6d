#ifndef DAMASKROUTE_INTENT_PLAN_REQUEST_H_
#define DAMASKROUTE_INTENT_PLAN_REQUEST_H_

#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/config/declaration.h"

namespace damaskroute {

/// Sets the state of one zone.
struct ZoneRequest {
  ZoneName zone;
  ZoneState state = ZoneState::kServing;

  friend bool operator==(const ZoneRequest&, const ZoneRequest&) = default;
};

/// Sets the intent for one backend server.
struct BackendRequest {
  BackendName backend;
  BackendIntent intent = BackendIntent::kServing;

  friend bool operator==(const BackendRequest&, const BackendRequest&) = default;
};

/// Restores the content of an earlier revision, zone states included, as a new revision.
struct RollbackRequest {
  Revision revision = 0;

  friend bool operator==(const RollbackRequest&, const RollbackRequest&) = default;
};

/// A change requested by an operator: a complete declaration or one of the short forms.
using PlanRequest =
    std::variant<std::vector<DeclarationFile>, ZoneRequest, BackendRequest, RollbackRequest>;

/// Body of a confirmation.
struct ConfirmRequest {
  bool override_warnings = false;
  bool has_request = false;  ///< Whether `request` is given.
  PlanRequest request;
};

/// JSON body of a plan request, for example `{"zone":"a","state":"out"}`.
std::string PlanRequestJson(const PlanRequest& request);

/// Inverse of `PlanRequestJson`. InvalidArgument for any other text.
absl::StatusOr<PlanRequest> ParsePlanRequest(const std::string& body);

/// JSON body of a confirmation, `{"override":false,"request":{...}}`.
std::string ConfirmRequestJson(const ConfirmRequest& request);

/// Inverse of `ConfirmRequestJson`; an empty body is a confirmation without override.
absl::StatusOr<ConfirmRequest> ParseConfirmRequest(const std::string& body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_INTENT_PLAN_REQUEST_H_
