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
  kAnswered,     ///< The server's whole answer, to be passed on: a success or a client error.
  kServerError,  ///< The server's whole answer reports an error of its own. It may have run.
  kNotRun,       ///< The server says that it did not run the request, for lack of room.
  kMisdirected,  ///< Another server has the address; it did not run the request.
  kUnreachable,  ///< No connection, so nothing was sent.
  kLost,         ///< No whole answer. It may have run.
};

/// Result of one call to a backend server.
struct CallResult {
  CallEnd end = CallEnd::kUnreachable;
  int status = 0;     ///< 0 without an answer.
  std::string stamp;  ///< The server's signature on its answer.
  std::string body;
  HeldBytes held;  ///< For `body`.
  std::vector<HeaderField> headers;
  const char* reason = "";  ///< For the log.
  bool leaving = false;     ///< The server says that it is leaving.
  /// For how long the server wants no more requests from this node.
  std::optional<std::chrono::milliseconds> pause;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_CALL_RESULT_H_
