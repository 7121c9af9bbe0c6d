#ifndef STANDINS_HTTP_SERVER_H_
#define STANDINS_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "standins/http_connection.h"

namespace damaskroute::standins {

/// Minimal asynchronous HTTP server. Not thread-safe: all member functions are called on the thread
/// of the io_context.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  /// Receives each request. Responds through the connection, immediately or later.
  using Handler = std::function<void(const std::shared_ptr<HttpConnection>&, HttpRequest&&)>;

  /// Handling of new connections.
  struct Options {
    int connection_limit = 0;                   ///< Further connections are reset; 0: no limit.
    std::chrono::microseconds connect_cost{0};  ///< Delay before the first read.
  };

  HttpServer(asio::io_context& io, Handler handler) : io_(io), handler_(std::move(handler)) {}

  /// Listens on `endpoint`, with port 0 on a free port. Returns Unavailable if that fails.
  absl::Status Listen(const Endpoint& endpoint);

  /// Stops listening. Open connections are kept.
  void StopListening();

  /// Resets all connections (TCP RST).
  void ResetConnections();

  /// Stops listening, resets all connections and releases the handler.
  void Close();

  Options& options() { return options_; }
  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t max_connections() const { return max_connections_; }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t refused() const { return refused_; }

 private:
  friend class HttpConnection;
  using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;

  void Accept();
  void ScheduleAcceptRetry();
  void OnAccept(HttpConnection::Socket socket);
  void Remove(HttpConnection* connection) { connections_.erase(connection); }

  asio::io_context& io_;
  Handler handler_;
  Options options_;
  std::shared_ptr<Acceptor> acceptor_;
  std::uint16_t port_ = 0;
  std::unordered_set<HttpConnection*> connections_;
  std::size_t max_connections_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_HTTP_SERVER_H_
