#ifndef DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_
#define DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_

#include <chrono>
#include <string>

namespace damaskroute {

/// How a `BackendClient` reads answers and notices broken connections.
struct BackendClientOptions {
  /// Header in which the server repeats the request's id.
  std::string request_id_header = "Damask-Request-Id";
  /// Header by which the server says, with the value 1, that it is leaving; empty if there is none.
  std::string leaving_header;
  /// Whether `ExchangeResult::headers` is filled.
  bool keep_headers = false;
  /// Whether an answer to another request is skipped, so that the right one is read after it.
  /// Otherwise such an answer is the result, for the caller to reject.
  bool skip_foreign_answers = false;
  /// For opening a connection; 0 leaves only the deadline of the exchange.
  std::chrono::milliseconds connect_timeout{0};
  /// Time without acknowledgement after which the kernel ends a connection (TCP_USER_TIMEOUT), and
  /// after which keep-alive probes end an idle one; 0 for the system's default.
  std::chrono::milliseconds silence_timeout{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_
