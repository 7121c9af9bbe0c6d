#ifndef DAMASKROUTE_HTTP_HTTP_SERVER_OPTIONS_H_
#define DAMASKROUTE_HTTP_HTTP_SERVER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/verdict.h"
#include "damaskroute/http/client_limits.h"
#include "damaskroute/http/client_memory.h"

namespace damaskroute {

/// Options of an `HttpServer`. The limits together bound the memory that clients can use.
struct HttpServerOptions {
  Endpoint listen;
  ClientLimits limits;
  /// Account of what the clients hold in memory; servers of one process share it. If null, the
  /// server has an account of its own with the default limit.
  std::shared_ptr<ClientMemory> memory;
  /// Whether callers are served also while `memory` is used up, as far as they need no more than
  /// `ClientMemory::kOrdinaryBytes` each. Requires a small `max_connections`.
  bool essential = false;
  /// If there are more, the connection that has waited longest for its client is closed.
  std::size_t max_connections = 4096;
  std::chrono::milliseconds body_timeout{10'000};   ///< From the header to the whole body.
  std::chrono::milliseconds write_timeout{10'000};  ///< For sending one response.

  /// Returns the verdict for requests to `target` that the server itself refuses after it has read
  /// the request line; `kNotRun` if empty. A refused action may have run through an earlier request
  /// with the same id.
  std::function<Verdict(std::string_view target)> refusal_verdict;

  std::chrono::milliseconds handler_timeout{70'000};  ///< Longer than any deadline.
  bool pass_headers = false;                          ///< Whether `HttpRequest::headers` is filled.
  bool watch_callers = false;  ///< Whether to detect that a caller disconnects during its request.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_SERVER_OPTIONS_H_
