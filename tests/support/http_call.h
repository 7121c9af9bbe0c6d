#ifndef DAMASKROUTE_TESTS_SUPPORT_HTTP_CALL_H_
#define DAMASKROUTE_TESTS_SUPPORT_HTTP_CALL_H_

#include <unistd.h>

#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"

namespace damaskroute::testing {

/// Status and body of a response; status 0 if there is no response.
struct HttpCallResult {
  int status = 0;
  std::string body;
};

/// Performs a blocking HTTP call on a new connection.
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

/// Returns an address on 127.0.0.1 whose port was just free for TCP and UDP. The port lies below
/// the kernel's ephemeral range, so that no outgoing connection takes it before the test binds it,
/// and differs from all ports returned earlier in this process.
inline Endpoint FreeEndpoint() {
  constexpr int kFirst = 10'000;
  constexpr int kCount = 22'000;
  static std::atomic<int> next{static_cast<int>(getpid()) * 131 % kCount};
  for (;;) {
    auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    auto address = asio::ip::make_address("127.0.0.1");
    asio::io_context context;
    boost::system::error_code error;
    asio::ip::tcp::acceptor tcp(context);
    asio::ip::udp::socket udp(context);
    tcp.open(asio::ip::tcp::v4(), error);
    if (!error) tcp.bind({address, port}, error);
    if (!error) udp.open(asio::ip::udp::v4(), error);
    if (!error) udp.bind({address, port}, error);
    if (!error) return {"127.0.0.1", port};
  }
}

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_HTTP_CALL_H_
