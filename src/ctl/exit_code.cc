#include "damaskroute/ctl/exit_code.h"

namespace damaskroute {

ExitCode ExitCodeOf(int http_status) {
  if (http_status >= 200 && http_status < 300) return ExitCode::kOk;
  switch (http_status) {
    case 400:
    case 411:
    case 413:
      return ExitCode::kInvalid;
    case 401:
      return ExitCode::kUnauthorized;
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    case 428:
      return ExitCode::kOverrideRequired;
    case 503:
      return ExitCode::kUnavailable;
    case 504:
      return ExitCode::kUnknown;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace damaskroute
