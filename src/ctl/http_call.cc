#include "damaskroute/ctl/http_call.h"

#include <exception>

#include "cpprest/http_client.h"
#include "fmt/format.h"

namespace damaskroute {

absl::StatusOr<HttpAnswer> PerformHttpCall(const HttpCall& call) {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(call.timeout);
    // Creates a client for each call: on a keep-alive connection, cpprestsdk silently resends a
    // POST when the server closes the connection without a response.
    web::http::client::http_client client(fmt::format("http://{}", call.endpoint), config);
    web::http::http_request request(call.method);
    request.set_request_uri(call.path);
    if (!call.token.empty()) request.headers().add("Authorization", "Bearer " + call.token);
    if (call.method == "POST") request.set_body(call.body, "application/json");
    web::http::http_response response = client.request(request).get();
    std::string body = response.extract_utf8string(true).get();
    return HttpAnswer{response.status_code(), std::move(body)};
  } catch (const std::exception& error) {
    return absl::UnavailableError(
        fmt::format("{} does not answer: {}", call.endpoint, error.what()));
  }
}

}  // namespace damaskroute
