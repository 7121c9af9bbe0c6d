#ifndef DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_
#define DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "damaskroute/http/byte_budget.h"

namespace damaskroute {

/// How a `BackendClient` reads answers and notices broken connections.
struct BackendClientOptions {
  /// Header in which the server repeats the request's id.
  std::string request_id_header = "Damask-Request-Id";
  /// Header by which the server says, with the value 1, that it is leaving; empty if there is none.
  std::string leaving_header;
  /// Whether `ExchangeResult::headers` is filled.
  bool keep_headers = false;
  /// Whether an answer to another request is skipped, so that the right one is read after it, and
  /// an answer without an id is invalid once the server has sent one with an id. Otherwise such an
  /// answer is the result, for the caller to reject.
  bool skip_foreign_answers = false;
  /// A longer head of an answer, or a longer part of its framing, ends the exchange.
  std::uint32_t max_head_bytes = std::uint32_t{16} << 10;
  /// A longer body of an answer ends the exchange.
  std::uint64_t max_body_bytes = std::uint64_t{8} << 20;
  /// Bounds the bodies of all answers that are held; null for no bound. The first
  /// `kUncountedBodyBytes` of each are not counted, so that servers which send without an end do
  /// not take the room of usual answers.
  std::shared_ptr<ByteBudget> held_bodies;
  static constexpr std::size_t kUncountedBodyBytes = std::size_t{64} << 10;
  /// For opening a connection; 0 leaves only the deadline of the exchange.
  std::chrono::milliseconds connect_timeout{0};
  /// Time without acknowledgement after which the kernel ends a connection (TCP_USER_TIMEOUT), and
  /// after which keep-alive probes end an idle one; 0 for the system's default.
  std::chrono::milliseconds silence_timeout{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_BACKEND_CLIENT_OPTIONS_H_
