#ifndef DAMASKROUTE_SRC_STORE_HTTP_CALL_H_
#define DAMASKROUTE_SRC_STORE_HTTP_CALL_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "damaskroute/core/endpoint.h"

namespace damaskroute::internal {

/// A call to the platform.
struct HttpCall {
  std::string method;
  std::string target;
  std::string headers;  ///< Complete header lines, besides `Host` and `Content-Length`.
  std::string body;
};

/// Outcome of one HTTP call to the platform.
struct HttpCallResult {
  int status = 0;             ///< 0 if no response arrived.
  bool connected = true;      ///< False if no connection could be opened, so nothing was sent.
  std::uint64_t version = 0;  ///< Header `Version`, 0 if absent or malformed.
  std::string body;
  std::string error;  ///< Why no response arrived.
};

/// Sends `call` exactly once on a new connection and waits for the complete response for at most
/// `deadline`.
HttpCallResult CallPlatform(const Endpoint& endpoint, const HttpCall& call,
                            std::chrono::milliseconds deadline);

}  // namespace damaskroute::internal

#endif  // DAMASKROUTE_SRC_STORE_HTTP_CALL_H_
