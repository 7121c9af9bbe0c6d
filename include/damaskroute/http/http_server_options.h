#ifndef DAMASKROUTE_HTTP_HTTP_SERVER_OPTIONS_H_
#define DAMASKROUTE_HTTP_HTTP_SERVER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string_view>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/verdict.h"
#include "damaskroute/http/client_limits.h"

namespace damaskroute {

/// Limits of an `HttpServer`. Together they bound the memory that clients can make it use.
struct HttpServerOptions {
  Endpoint listen;
  ClientLimits limits;
  std::size_t max_buffered_bytes = std::size_t{32} << 20;  ///< Bodies of all connections together.
  std::size_t max_connections = 4096;
  std::chrono::milliseconds body_timeout{10'000};   ///< From the header to the whole body.
  std::chrono::milliseconds write_timeout{10'000};  ///< For sending one response.

  /// Verdict of a refusal that the server makes itself after it has read the request line, by the
  /// target. Without it the verdict is `kNotRun`. An action may have run through an earlier
  /// request.
  std::function<Verdict(std::string_view target)> refusal_verdict;

  std::chrono::milliseconds handler_timeout{70'000};  ///< For the handler; above all deadlines.
  bool pass_headers = false;                          ///< Whether `HttpRequest::headers` is filled.
  bool watch_callers = false;  ///< Whether a caller's close is noticed while its request is served.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_SERVER_OPTIONS_H_
