#ifndef DAMASKROUTE_HTTP_HTTP_REQUEST_H_
#define DAMASKROUTE_HTTP_HTTP_REQUEST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "damaskroute/core/time.h"
#include "damaskroute/http/caller_connection.h"
#include "damaskroute/http/caller_presence.h"
#include "damaskroute/http/header_field.h"

namespace damaskroute {

/// Request received by `HttpServer`, including its complete body.
struct HttpRequest {
  std::string method;
  std::string target;        ///< Path and query as sent.
  std::string content_type;  ///< Empty if the header is absent.
  std::string body;
  std::size_t loop = 0;                      ///< Index of the event loop that runs the handler.
  std::vector<HeaderField> headers;          ///< Empty unless `HttpServerOptions::pass_headers`.
  std::shared_ptr<CallerPresence> presence;  ///< Null unless `HttpServerOptions::watch_callers`.
  TimePoint received;           ///< When the header was complete; deadlines count from this time.
  CallerConnection connection;  ///< Measured if `HttpServerOptions::watch_callers`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_REQUEST_H_
