#ifndef DAMASKROUTE_HTTP_HTTP_REQUEST_H_
#define DAMASKROUTE_HTTP_HTTP_REQUEST_H_

#include <cstddef>
#include <string>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Request as received by `HttpServer`, with its whole body.
struct HttpRequest {
  std::string method;
  std::string target;        ///< Path and query as sent.
  std::string content_type;  ///< Empty if the header is absent.
  std::string body;
  std::size_t loop = 0;  ///< Index of the event loop that runs the handler.
  TimePoint received;    ///< When the header was complete; deadlines count from here.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_REQUEST_H_
