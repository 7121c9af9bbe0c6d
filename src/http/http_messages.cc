#include "http_messages.h"

#include <string>
#include <utility>

namespace damaskroute::internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

http::response<http::string_body> ToBeast(HttpResponse response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  if (!response.content_type.empty()) {
    message.set(http::field::content_type, response.content_type);
  }
  for (const HeaderField& field : response.headers) message.insert(field.name, field.value);
  if (response.retry_after.count() > 0) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(response.retry_after);
    message.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

Problem ProblemOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return {431, "header_too_large", "the request header exceeds the limit"};
  }
  if (error == http::error::body_limit) {
    return {413, "body_too_large", "the request body exceeds the limit"};
  }
  if (error == beast::error::timeout) {
    return {408, "request_timeout", "the request was not received in time"};
  }
  return {400, "bad_request", "the request is not valid HTTP/1.1"};
}

}  // namespace damaskroute::internal
