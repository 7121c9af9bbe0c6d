#include "http_call.h"

#include <charconv>
#include <string_view>
#include <system_error>
#include <vector>

#include "fmt/format.h"

namespace damaskroute::internal {
namespace {

std::uint64_t ParseVersion(const web::http::http_headers& headers) {
  auto it = headers.find("Version");
  std::uint64_t version = 0;
  if (it == headers.end()) return 0;
  const std::string& text = it->second;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? version : 0;
}

// cpprestsdk reports a refused connection as host_unreachable. The same code can come from the
// network on an open connection, so the text must match too; otherwise the call counts as sent.
bool IsConnectFailure(const web::http::http_exception& error) {
  return error.error_code() == std::errc::host_unreachable &&
         std::string_view(error.what()).starts_with("Failed to connect");
}

}  // namespace

std::string BaseUrl(const Endpoint& endpoint) {
  return fmt::format("http://{}", FormatEndpoint(endpoint));
}

HttpCallResult CallOnce(const std::string& base_url, const web::http::http_request& request,
                        std::chrono::milliseconds deadline) {
  HttpCallResult result;
  try {
    web::http::client::http_client_config config;
    config.set_timeout(deadline);
    // A new client per call never reuses a kept-alive connection. If the server closes a kept-alive
    // connection without a response, cpprestsdk 2.10.18 sends the request a second time.
    web::http::client::http_client client(base_url, config);
    web::http::http_response response = client.request(request).get();
    std::vector<unsigned char> body = response.extract_vector().get();
    result.body.assign(body.begin(), body.end());
    result.version = ParseVersion(response.headers());
    result.status = response.status_code();
  } catch (const web::http::http_exception& error) {
    result.connected = !IsConnectFailure(error);
    result.error = error.what();
  } catch (const std::exception& error) {
    result.error = error.what();
  }
  return result;
}

}  // namespace damaskroute::internal
