#ifndef DAMASKROUTE_HTTP_HTTP_RESPONSE_H_
#define DAMASKROUTE_HTTP_HTTP_RESPONSE_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "damaskroute/http/header_field.h"

namespace damaskroute {

/// Response to a caller or an operator.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";  ///< No `Content-Type` header if empty.
  std::string body;
  std::vector<HeaderField> headers;  ///< Additional headers, none of which frames the message.
  std::chrono::milliseconds retry_after{0};  ///< Sent as `Retry-After` if above 0.
  std::shared_ptr<void> token;               ///< Released when the response was written or dropped.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_RESPONSE_H_
