#ifndef DAMASKROUTE_CTL_HTTP_CALL_H_
#define DAMASKROUTE_CTL_HTTP_CALL_H_

#include <chrono>
#include <string>

#include "absl/status/statusor.h"

namespace damaskroute {

/// One HTTP call of damaskctl.
struct HttpCall {
  std::string endpoint;  ///< `address:port`.
  std::string method;
  std::string path;
  std::string token;  ///< Bearer token, empty for none.
  std::string body;   ///< JSON.
  std::chrono::milliseconds timeout{60'000};
};

/// Response to an `HttpCall`, with any status.
struct HttpAnswer {
  int status = 0;
  std::string body;
};

/// Performs the call. Returns Unavailable if connecting fails, the connection breaks or the call
/// times out.
absl::StatusOr<HttpAnswer> PerformHttpCall(const HttpCall& call);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CTL_HTTP_CALL_H_
