#ifndef DAMASKROUTE_TESTS_SUPPORT_HTTP_CALL_H_
#define DAMASKROUTE_TESTS_SUPPORT_HTTP_CALL_H_

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"

namespace damaskroute::testing {

/// Status and body of a response; status 0 if there was none.
struct HttpCallResult {
  int status = 0;
  std::string body;
};

/// Blocking HTTP call on a connection of its own.
inline HttpCallResult HttpCall(const Endpoint& endpoint, const std::string& method,
                               const std::string& target, const std::string& body = "") {
  namespace http = boost::beast::http;
  asio::io_context context;
  boost::beast::tcp_stream stream(context);
  boost::system::error_code error;
  stream.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error);
  if (error) return {};
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, FormatEndpoint(endpoint));
  request.set(http::field::content_type, "application/json");
  request.body() = body;
  request.prepare_payload();
  http::write(stream, request, error);
  if (error) return {};
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(stream, buffer, response, error);
  if (error) return {};
  return {static_cast<int>(response.result_int()), response.body()};
}

/// A port of 127.0.0.1 that was free a moment ago.
inline Endpoint FreeEndpoint() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_HTTP_CALL_H_
