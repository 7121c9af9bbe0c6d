#ifndef DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_
#define DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_

#include <chrono>
#include <memory>
#include <string>

namespace damaskroute {

/// A fully rendered HTTP request to a backend server.
struct ExchangeRequest {
  std::string bytes;                      ///< Request line, headers and, without `body`, the body.
  std::chrono::microseconds time_left{};  ///< Time after which the exchange ends.
  std::string request_id;                 ///< Its `Damask-Request-Id`; empty if it has none.
  /// If set, sent after `bytes`. Exchanges that send the same body share it.
  std::shared_ptr<const std::string> body;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_EXCHANGE_REQUEST_H_
