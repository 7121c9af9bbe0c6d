#include "http_call.h"

#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

#include "damaskroute/http/call_once.h"
#include "damaskroute/http/header_field.h"
#include "fmt/format.h"

namespace damaskroute::internal {
namespace {

std::uint64_t ParseVersion(std::string_view text) {
  std::uint64_t version = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? version : 0;
}

}  // namespace

HttpCallResult CallPlatform(const Endpoint& endpoint, const HttpCall& call,
                            std::chrono::milliseconds deadline) {
  ExchangeRequest request;
  request.time_left = deadline;
  request.bytes =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n{}\r\n{}", call.method,
                  call.target, FormatEndpoint(endpoint), call.body.size(), call.headers, call.body);
  BackendClientOptions options;
  options.keep_headers = true;
  ExchangeResult answer = CallOnce(endpoint, std::move(request), std::move(options));
  HttpCallResult result;
  result.connected = answer.end != ExchangeEnd::kConnectFailed;
  if (answer.end != ExchangeEnd::kAnswered) {
    result.error = ExchangeEndName(answer.end);
    return result;
  }
  result.status = answer.status;
  result.version = ParseVersion(HeaderValue(answer.headers, "Version"));
  result.body = std::move(answer.body);
  return result;
}

}  // namespace damaskroute::internal
