#include <cstdint>
#include <string>

// Must come before Boost.Beast, which includes Boost.Asio.
#include "damaskroute/core/asio.h"
//
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "damaskroute/node/forward_call.h"
#include "platform/platform.h"

namespace {

namespace http = boost::beast::http;
using Message = http::request<http::string_body>;

// Parses one request at the start of `bytes`. Returns the number of bytes read, 0 if the request is
// incomplete or invalid.
std::size_t Parse(const std::string& bytes, Message& message) {
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code error;
  std::size_t read = parser.put(boost::asio::buffer(bytes), error);
  if (error || !parser.is_done()) return 0;
  message = parser.release();
  return read;
}

std::string Text(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

// A forwarded caller's request must parse as exactly one request with the same method, target and
// body, so that no second request can be smuggled inside it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Message message;
  if (Parse(std::string(reinterpret_cast<const char*>(data), size), message) == 0) return 0;
  damaskroute::HttpRequest request;
  request.method = Text(message.method_string());
  request.target = Text(message.target());
  request.body = message.body();
  for (const auto& field : message) {
    request.headers.push_back({Text(field.name_string()), Text(field.value())});
  }
  auto protocol = damaskroute::platform::Platform().Protocol();
  auto received = damaskroute::ReadCallerRequest(request, protocol);
  auto now = damaskroute::SteadyClock().Now();
  auto call =
      damaskroute::MakeForwardCall(received, "i-1", now + std::chrono::seconds(1), now, protocol);
  Message sent;
  std::string bytes = call.bytes + received.body;
  std::size_t read = Parse(bytes, sent);
  if (read != bytes.size() || Text(sent.method_string()) != request.method ||
      Text(sent.target()) != request.target || sent.body() != request.body) {
    __builtin_trap();
  }
  return 0;
}
