#ifndef DAMASKROUTE_SRC_HTTP_HTTP_SERVER_SHARED_H_
#define DAMASKROUTE_SRC_HTTP_HTTP_SERVER_SHARED_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/http/http_server.h"
#include "pipeline_turns.h"
#include "waiting_connections.h"

namespace damaskroute {

/// State shared by a server and its connections.
struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared> {
  /// Returns released memory to the system and reports refusals after a moment. Thread-safe.
  void ScheduleUpkeep();

  std::vector<asio::io_context*> loops;
  HttpServerOptions options;
  HttpHandler handler;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
  std::atomic<bool> draining{false};
  /// Set when the server is destroyed, and with it the objects that the handler uses.
  std::atomic<bool> closed{false};
  std::atomic<bool> close_after_responses{false};
  std::atomic<std::size_t> active_requests{0};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::uint64_t> displaced_connections{0};  ///< Closed for new ones.
  std::atomic<std::uint64_t> rejected_requests{0};
  internal::WaitingConnections waiting;
  internal::PipelineTurns turns;

 private:
  void Upkeep();

  std::atomic<bool> upkeep_scheduled_{false};
  // Used by `Upkeep` only.
  std::uint64_t reported_evictions_ = 0;
  std::uint64_t reported_refusals_ = 0;
  std::uint64_t reported_displaced_ = 0;
};

namespace internal {

/// Adds `amount` to a counter for the lifetime of the object.
class ScopedCount {
 public:
  ScopedCount(std::atomic<std::size_t>& counter, std::size_t amount)
      : counter_(counter), amount_(amount) {
    counter_ += amount_;
  }
  ~ScopedCount() { counter_ -= amount_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<std::size_t>& counter_;
  std::size_t amount_;
};

}  // namespace internal
}  // namespace damaskroute

#endif  // DAMASKROUTE_SRC_HTTP_HTTP_SERVER_SHARED_H_
