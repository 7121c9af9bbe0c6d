#ifndef DAMASKROUTE_HTTP_EXCHANGE_RESULT_H_
#define DAMASKROUTE_HTTP_EXCHANGE_RESULT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"
#include "damaskroute/http/byte_budget.h"
#include "damaskroute/http/header_field.h"

namespace damaskroute {

/// How an HTTP exchange with a backend server ended.
enum class ExchangeEnd : std::uint8_t {
  kAnswered,        ///< A complete response was read.
  kConnectFailed,   ///< No byte of the request was sent.
  kConnectionLost,  ///< The connection broke after bytes of the request may have been sent.
  kTimedOut,        ///< The deadline passed after bytes of the request may have been sent.
  kCancelled,       ///< Cancelled by the owner after bytes may have been sent.
  kBadAnswer,       ///< The response is not valid HTTP or is too long.
};

/// Description of `end` for logs.
inline const char* ExchangeEndName(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kAnswered:
      return "answered";
    case ExchangeEnd::kConnectFailed:
      return "cannot connect";
    case ExchangeEnd::kConnectionLost:
      return "connection lost";
    case ExchangeEnd::kTimedOut:
      return "timed out";
    case ExchangeEnd::kCancelled:
      return "cancelled";
    case ExchangeEnd::kBadAnswer:
      return "not a valid response";
  }
  return "unknown";
}

/// Result of one HTTP exchange with a backend server. Absent and malformed header values keep their
/// defaults.
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kConnectFailed;
  bool refused = false;  ///< With `kConnectFailed`: no process listens at the address.
  /// With `kConnectFailed`: `BackendClientOptions::connection_budget` allowed no connection.
  bool no_descriptor = false;
  int status = 0;
  std::string request_id;     ///< `BackendClientOptions::request_id_header`.
  std::uint32_t attempt = 0;  ///< `Damask-Attempt`.
  IndexVersion version = 0;   ///< `Damask-Index-Version`.
  KeyRange range;             ///< `Damask-Range`.
  BootId boot_id = 0;         ///< `Damask-Boot-Id`.
  std::string state;          ///< `Damask-State`.
  /// Whether this response or a skipped one carried `BackendClientOptions::leaving_header`. Also
  /// set if the exchange failed.
  bool leaving = false;
  /// Value of `BackendClientOptions::rate_limit_header` in this response or, if it has none, in the
  /// last skipped one: requests per second, not negative. Also set if the exchange failed.
  std::optional<double> rate_limit;
  std::string body;
  BudgetedBytes budgeted_bytes;  ///< Reserved for `body` from `BackendClientOptions::body_budget`.
  std::vector<HeaderField> headers;  ///< Filled if `BackendClientOptions::keep_headers`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_EXCHANGE_RESULT_H_
