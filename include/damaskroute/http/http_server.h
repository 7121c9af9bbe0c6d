#ifndef DAMASKROUTE_HTTP_HTTP_SERVER_H_
#define DAMASKROUTE_HTTP_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/http/http_request.h"
#include "damaskroute/http/http_response.h"
#include "damaskroute/http/http_server_options.h"

namespace damaskroute {

/// Sends the response to one request. Call it exactly once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request on the event loop of its connection. Must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// HTTP/1.1 server on several event loops with bounded memory. Connections are assigned to the
/// loops in turn. Built on Boost.Beast, because the listener of cpprestsdk bounds neither headers,
/// bodies nor idle connections (docs/decisions/0002).
class HttpServer {
 public:
  /// The loops must outlive the server; their owner runs them with one thread each.
  HttpServer(std::vector<asio::io_context*> loops, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the listening socket and starts accepting. Unavailable if the address is taken.
  absl::Status Start();

  /// Stops accepting; each connection is closed after the response to its current request.
  void BeginDrain();

  /// Whether each response closes its connection, so that callers move to other nodes while
  /// requests are still accepted. Thread-safe.
  void CloseAfterResponses(bool close);

  /// Changes the limits for requests that begin from now on. Call on the server's loop; only for a
  /// server with one loop.
  void SetClientLimits(const ClientLimits& limits);

  /// Number of requests whose response has not been sent yet.
  std::size_t active_requests() const;

  /// Number of open connections.
  std::size_t open_connections() const;

  struct Shared;

 private:
  std::shared_ptr<Shared> shared_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_SERVER_H_
