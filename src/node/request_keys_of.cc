#include "damaskroute/node/request_keys_of.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/ascii.h"
#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

// Content negotiation and proxies, which depend on the connection or the version of a client.
constexpr std::array<std::string_view, 9> kIgnoredNames = {
    "accept",  "accept-encoding", "accept-language",
    "baggage", "cache-control",   "if-none-match",
    "date",    "user-agent",      "via"};

// Parts of the names of headers in which client libraries state ids of attempts, numbers of
// retries, and traces.
constexpr std::array<std::string_view, 9> kIgnoredParts = {
    "trace",         "span",    "b3-",   "request-id", "correlation-id",
    "invocation-id", "attempt", "retry", "forwarded"};

bool MayDifferBetweenAttempts(std::string_view lower_name) {
  return std::find(kIgnoredNames.begin(), kIgnoredNames.end(), lower_name) != kIgnoredNames.end() ||
         std::any_of(kIgnoredParts.begin(), kIgnoredParts.end(), [&](std::string_view part) {
           return lower_name.find(part) != std::string_view::npos;
         });
}

}  // namespace

RequestKeys KeysOf(const CallerRequest& request) {
  std::uint64_t content = Hash64(request.body);
  for (std::string_view text : {std::string_view(request.method), std::string_view(request.host),
                                std::string_view(request.target)}) {
    content = Hash64(text, content);
  }
  std::vector<std::string> headers;
  for (const HeaderField& field : request.headers) {
    std::string name = absl::AsciiStrToLower(field.name);
    if (!MayDifferBetweenAttempts(name)) headers.push_back(name + ":" + field.value);
  }
  std::sort(headers.begin(), headers.end());
  std::uint64_t exact = content;
  for (const std::string& header : headers) exact = Hash64(header, exact);
  return {.exact = exact, .content = content};
}

}  // namespace damaskroute
