#ifndef DAMASKROUTE_FORWARD_CALL_RESULT_H_
#define DAMASKROUTE_FORWARD_CALL_RESULT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "damaskroute/http/byte_budget.h"
#include "damaskroute/http/header_field.h"

namespace damaskroute {

/// How a call to a backend server ended.
enum class CallEnd : std::uint8_t {
  kAnswered,     ///< Complete response to forward: a success or a client error.
  kServerError,  ///< Complete response with a server error. The request may have run.
  kNotRun,       ///< The server reports that it shed the request without running it.
  kMisdirected,  ///< Another server has the address. It did not run the request.
  kUnreachable,  ///< No connection, so nothing was sent.
  kLost,         ///< No complete response. The request may have run.
};

/// Whether the server may have run the request.
inline bool MayHaveRun(CallEnd end) {
  return end == CallEnd::kAnswered || end == CallEnd::kServerError || end == CallEnd::kLost;
}

/// Result of one call to a backend server.
struct CallResult {
  CallEnd end = CallEnd::kUnreachable;
  int status = 0;     ///< 0 without a response.
  std::string stamp;  ///< The server's signature on its response.
  std::string body;
  BudgetedBytes budgeted_bytes;  ///< Reservation of memory for `body`.
  std::vector<HeaderField> headers;
  const char* reason = "";       ///< For the log.
  bool connection_lost = false;  ///< With `kLost`: the connection broke, as in a crash.
  bool leaving = false;          ///< The server reports that it is leaving.
  /// Backoff that the server requested (Retry-After).
  std::optional<std::chrono::milliseconds> backoff;
  /// Request rate that the server accepts from all nodes together, in requests per second.
  std::optional<double> rate_limit;
  bool has_no_rate_limit = false;  ///< The server answered without stating a rate limit.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_CALL_RESULT_H_
