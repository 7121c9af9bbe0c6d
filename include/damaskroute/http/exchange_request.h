#ifndef DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_
#define DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_

#include <chrono>
#include <string>

namespace damaskroute {

/// One HTTP request to a backend server, rendered completely.
struct ExchangeRequest {
  std::string bytes;                      ///< Request line, headers and body.
  std::chrono::microseconds time_left{};  ///< The exchange ends after this time.
  std::string request_id;                 ///< `Damask-Request-Id` in it; empty if it has none.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_
