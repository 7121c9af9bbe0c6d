#ifndef DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_
#define DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_

#include <chrono>
#include <string>

namespace damaskroute {

/// A fully rendered HTTP request to a backend server.
struct ExchangeRequest {
  std::string bytes;                      ///< Request line, headers and body.
  std::chrono::microseconds time_left{};  ///< Time after which the exchange ends.
  std::string request_id;                 ///< Its `Damask-Request-Id`; empty if it has none.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_
