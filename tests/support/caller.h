#ifndef DAMASKROUTE_TESTS_SUPPORT_CALLER_H_
#define DAMASKROUTE_TESTS_SUPPORT_CALLER_H_

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <string>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
#include "tests/support/http_call.h"

namespace damaskroute::testing {

/// A caller that keeps one connection to each endpoint and never sends a request twice. For one
/// thread.
class Caller {
 public:
  /// Status 0 if the connection failed or there was no response for 20 s.
  HttpCallResult Post(const Endpoint& endpoint, const std::string& target,
                      const std::string& body) {
    namespace http = boost::beast::http;
    auto& connection = connections_[endpoint];
    if (!connection || !IsUsable(*connection)) connection = Connect(endpoint);
    if (!connection) return {};
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, FormatEndpoint(endpoint));
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    boost::system::error_code error;
    http::write(connection->socket, request, error);
    http::response<http::string_body> response;
    if (!error) http::read(connection->socket, connection->buffer, response, error);
    if (error || !response.keep_alive()) connection.reset();
    if (error) return {};
    return {static_cast<int>(response.result_int()), response.body()};
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
  };

  static bool IsUsable(Connection& connection) {
    char byte;
    ssize_t size = recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  std::unique_ptr<Connection> Connect(const Endpoint& endpoint) {
    auto connection = std::make_unique<Connection>(context_);
    boost::system::error_code error;
    connection->socket.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error);
    if (error) return nullptr;
    timeval limit{20, 0};
    setsockopt(connection->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return connection;
  }

  asio::io_context context_;
  std::map<Endpoint, std::unique_ptr<Connection>> connections_;
};

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_CALLER_H_
