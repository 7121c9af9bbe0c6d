#ifndef TESTS_HTTP_TEST_CLIENT_H_
#define TESTS_HTTP_TEST_CLIENT_H_

#include <string>
#include <utility>
#include <vector>

// Must come before Boost.Beast, which includes Boost.Asio.
#include "damaskroute/core/asio.h"
#include "damaskroute/core/endpoint.h"
//
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace damaskroute {

/// Blocking HTTP client with one keep-alive connection. Sends each request exactly once.
class HttpTestClient {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  struct Response {
    int status = 0;  ///< 0 if the connection ended without a response.
    boost::beast::http::fields headers;
    std::string body;
    std::string operator[](const std::string& name) const {
      return std::string(headers[name].data(), headers[name].size());
    }
  };

  explicit HttpTestClient(const Endpoint& endpoint) : socket_(io_) {
    socket_.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error_);
  }

  Response Call(const std::string& method, const std::string& target, const Headers& headers = {},
                const std::string& body = "") {
    Send(method, target, headers, body);
    return Receive();
  }

  void Send(const std::string& method, const std::string& target, const Headers& headers = {},
            const std::string& body = "") {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: test\r\n";
    for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
    SendRaw(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void SendRaw(const std::string& text) {
    if (!error_) asio::write(socket_, asio::buffer(text), error_);
  }

  Response Receive() {
    boost::beast::http::response<boost::beast::http::string_body> message;
    if (!error_) boost::beast::http::read(socket_, buffer_, message, error_);
    if (error_) return {};
    return {static_cast<int>(message.result_int()), message.base(), message.body()};
  }

  void Close() { socket_.close(error_); }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::system::error_code error_;
};

}  // namespace damaskroute

#endif  // TESTS_HTTP_TEST_CLIENT_H_
