#ifndef DAMASKROUTE_SRC_STORE_HTTP_CALL_H_
#define DAMASKROUTE_SRC_STORE_HTTP_CALL_H_

#include <cpprest/http_client.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "damaskroute/core/endpoint.h"

namespace damaskroute::internal {

/// Outcome of one HTTP call to the platform.
struct HttpCallResult {
  int status = 0;             ///< 0 if no response arrived.
  bool connected = true;      ///< False if no connection could be opened, so nothing was sent.
  std::uint64_t version = 0;  ///< Header `Version`, 0 if absent or malformed.
  std::string body;
  std::string error;  ///< Why no response arrived.
};

/// Returns `http://address:port`.
std::string BaseUrl(const Endpoint& endpoint);

/// Sends `request` exactly once on a new connection and waits for the complete response for at most
/// `deadline`. Never throws.
HttpCallResult CallOnce(const std::string& base_url, const web::http::http_request& request,
                        std::chrono::milliseconds deadline);

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_STORE_HTTP_CALL_H_
