#include "damaskroute/node/caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace damaskroute {
namespace {

std::optional<std::chrono::milliseconds> ParseMilliseconds(std::string_view text) {
  std::int64_t value = 0;
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value < 0) return std::nullopt;
  return std::chrono::milliseconds(value);
}

// Returns the header names that the Connection header lists as hop-by-hop.
std::vector<std::string> ConnectionOptions(const std::vector<HeaderField>& headers) {
  std::vector<std::string> names;
  for (const HeaderField& field : headers) {
    if (!SameHeaderName(field.name, "Connection")) continue;
    for (absl::string_view name : absl::StrSplit(field.value, ',')) {
      name = absl::StripAsciiWhitespace(name);
      names.emplace_back(name.data(), name.size());
    }
  }
  return names;
}

}  // namespace

bool IsConnectionHeader(std::string_view name) {
  constexpr std::array<std::string_view, 11> kNames = {"Connection",
                                                       "Keep-Alive",
                                                       "Proxy-Connection",
                                                       "Proxy-Authenticate",
                                                       "Proxy-Authorization",
                                                       "TE",
                                                       "Trailer",
                                                       "Transfer-Encoding",
                                                       "Upgrade",
                                                       "Content-Length",
                                                       "Expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](std::string_view known) { return SameHeaderName(name, known); });
}

std::vector<HeaderField> TakeCredentials(HttpRequest& request, const ForwardProtocol& protocol) {
  std::vector<HeaderField> credentials;
  std::erase_if(request.headers, [&](const HeaderField& field) {
    bool is_credential = SameHeaderName(field.name, kAuthorizationHeader);
    if (is_credential) credentials.push_back(field);
    return is_credential || SameHeaderName(field.name, protocol.tenant);
  });
  return credentials;
}

CallerRequest ReadCallerRequest(HttpRequest request, const ForwardProtocol& protocol) {
  CallerRequest result;
  result.id = HeaderValue(request.headers, protocol.request_id);
  result.host = HeaderValue(request.headers, "Host");
  result.caller_timeout = ParseMilliseconds(HeaderValue(request.headers, protocol.deadline_ms));
  result.has_body = FindHeader(request.headers, "Content-Length") != nullptr ||
                    FindHeader(request.headers, "Transfer-Encoding") != nullptr;
  auto connection_options = ConnectionOptions(request.headers);
  for (HeaderField& field : request.headers) {
    bool omitted = SameHeaderName(field.name, protocol.deadline_ms) ||
                   SameHeaderName(field.name, protocol.expected_server) ||
                   SameHeaderName(field.name, protocol.request_id) ||
                   SameHeaderName(field.name, "Host") || IsConnectionHeader(field.name);
    bool is_connection_option =
        std::any_of(connection_options.begin(), connection_options.end(),
                    [&](const std::string& name) { return SameHeaderName(name, field.name); });
    if (!omitted && !is_connection_option) result.headers.push_back(std::move(field));
  }
  result.method = std::move(request.method);
  result.target = std::move(request.target);
  result.body = std::move(request.body);
  result.received = request.received;
  result.connection = request.connection;
  return result;
}

}  // namespace damaskroute
