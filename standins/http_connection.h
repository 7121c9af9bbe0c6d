#ifndef STANDINS_HTTP_CONNECTION_H_
#define STANDINS_HTTP_CONNECTION_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

// Must come before Boost.Beast, which includes Boost.Asio.
#include "damaskroute/core/asio.h"
//
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace damaskroute::standins {

class HttpServer;

/// Request with its complete body.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Value of the header `name`, empty if absent.
inline std::string_view Header(const HttpRequest& request, std::string_view name) {
  auto value = request[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

/// Request target: path and query.
inline std::string_view Target(const HttpRequest& request) {
  return {request.target().data(), request.target().size()};
}

/// Server side of a persistent connection. Serves one request at a time, but continues to read
/// while a request is in progress in order to detect that the peer has closed the connection.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Socket = asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

  HttpConnection(std::shared_ptr<HttpServer> server, Socket socket);

  /// Starts to read after `pause`.
  void Start(std::chrono::microseconds pause);

  /// Responds to the request in progress. `headers` consists of complete lines, each terminated by
  /// CRLF. No effect on a closed connection.
  void Respond(int status, std::string_view headers, std::string_view body);

  /// Sends `bytes` verbatim instead of a response, then closes the connection if `close` is set.
  void RespondRaw(std::string bytes, bool close);

  /// Closes the connection with a TCP RST, without a response.
  void Reset();

  /// Sets a callback that runs once if the peer closes the connection while a request is in
  /// progress. The response clears it.
  void set_on_peer_closed(std::function<void()> callback) { on_peer_closed_ = std::move(callback); }

 private:
  void Read();
  void OnRead(const boost::system::error_code& error);
  void OnWritten(const boost::system::error_code& error);
  void Dispatch(HttpRequest request);
  void Close();

  std::shared_ptr<HttpServer> server_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<HttpRequest> pipelined_request_;
  std::function<void()> on_peer_closed_;
  std::string output_;
  bool busy_ = false;
  bool reading_ = false;
  bool keep_alive_ = true;
  bool closed_ = false;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_HTTP_CONNECTION_H_
