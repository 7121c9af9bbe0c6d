#ifndef DAMASKROUTE_NODE_BACKEND_HEALTH_H_
#define DAMASKROUTE_NODE_BACKEND_HEALTH_H_

#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/peer/backend_report.h"

namespace damaskroute {

/// Content of a backend server's `GET /health`. It may be stale or wrong: it is used for the
/// versions and ranges that can be queried, and never as a sign that a backend server is warm.
struct BackendHealth {
  BackendState state = BackendState::kUnknown;
  BootId boot_id = 0;
  std::vector<HeldRange> held;  ///< Sorted by version, then range.
};

/// Parses the JSON body. InvalidArgument if it does not have the documented form.
absl::StatusOr<BackendHealth> ParseBackendHealth(std::string_view body);

/// State of the `Damask-State` header or the `state` member; kUnknown for any other text.
BackendState ParseBackendState(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_BACKEND_HEALTH_H_
