#ifndef DAMASKROUTE_HTTP_HTTP_SERVER_H_
#define DAMASKROUTE_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/http/http_request.h"
#include "damaskroute/http/http_response.h"
#include "damaskroute/http/http_server_options.h"

namespace damaskroute {

/// Sends the response to one request. Must be called exactly once; thread-safe.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request on the event loop of its connection. Must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// HTTP/1.1 server on several event loops with bounded memory. Assigns connections to the loops in
/// round-robin order. Built on Boost.Beast because the listener of cpprestsdk limits neither header
/// sizes, body sizes nor idle connections (docs/decisions/0002).
class HttpServer {
 public:
  /// The loops must outlive the server; their owner runs them with one thread each.
  HttpServer(std::vector<asio::io_context*> loops, HttpServerOptions options, HttpHandler handler);

  /// Closes the listening socket and all connections: at once those of loops that have ended, whose
  /// threads must have ended as well, and the others on their loops.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the listening socket and starts accepting. Unavailable if the address is taken.
  absl::Status Start();

  /// Stops accepting; each connection is closed after the response to its current request.
  void BeginDrain();

  /// Sets whether each connection is closed after its response, which moves callers to other nodes
  /// while this one still accepts requests. Thread-safe.
  void CloseAfterResponses(bool close);

  /// Sets the limits of later requests. Must be called on the server's loop, and only for a server
  /// with a single loop.
  void SetClientLimits(const ClientLimits& limits);

  /// Number of requests whose response has not been sent yet.
  std::size_t active_requests() const;

  /// Number of connections that were closed for new ones.
  std::uint64_t displaced_connections() const;

  /// Number of requests that the server itself refused.
  std::uint64_t rejected_requests() const;

  /// Number of open connections.
  std::size_t open_connections() const;

  struct Shared;

 private:
  std::shared_ptr<Shared> shared_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HTTP_SERVER_H_
