#ifndef DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_
#define DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "damaskroute/http/byte_budget.h"
#include "damaskroute/http/connection_budget.h"

namespace damaskroute {

/// How a `BackendClient` reads responses and detects broken connections.
struct BackendClientOptions {
  /// Header in which the server echoes the request's id.
  std::string request_id_header = "Damask-Request-Id";
  /// Header with which the server announces, by the value 1, that it is leaving; empty for none.
  std::string leaving_header;
  /// Header with the request rate that the server accepts; empty for none.
  std::string rate_limit_header;
  /// Whether `ExchangeResult::headers` is filled.
  bool keep_headers = false;
  /// Whether to skip a response that carries the id of another request and read the next one, and
  /// to treat a response without an id as invalid once the server has sent one with an id.
  /// Otherwise such a response becomes the result, and the caller has to check it.
  bool skip_mismatched_answers = false;
  /// A longer response header or chunk framing ends the exchange.
  std::uint32_t max_head_bytes = std::uint32_t{16} << 10;
  /// A longer response body ends the exchange.
  std::uint64_t max_body_bytes = std::uint64_t{8} << 20;
  /// Bounds the memory of all response bodies together; null for no bound. The first
  /// `kUnbudgetedBodyBytes` of each body are not counted, so that endless bodies do not use up the
  /// budget of ordinary responses.
  std::shared_ptr<ByteBudget> body_budget;
  static constexpr std::size_t kUnbudgetedBodyBytes = std::size_t{64} << 10;
  /// Bounds the connections of several clients together; null for no bound. Connections opened by
  /// `OpenConnection` and `CheckRefused` are few and do not count.
  std::shared_ptr<ConnectionBudget> connection_budget;
  /// Limit for opening a connection; with 0 only the deadline of the exchange applies.
  std::chrono::milliseconds connect_timeout{0};
  /// Time without acknowledgement after which the kernel closes a connection (TCP_USER_TIMEOUT) and
  /// keep-alive probes close an idle one; 0 for the system's default.
  std::chrono::milliseconds unresponsive_timeout{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_
