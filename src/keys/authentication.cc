#include "damaskroute/keys/authentication.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace damaskroute {
namespace {

// RFC 9110, section 11.4: the scheme, one or more spaces, and the key, which has no spaces.
std::optional<std::string_view> KeyIn(std::string_view value, std::string_view scheme) {
  if (value.size() <= scheme.size() || value[scheme.size()] != ' ' ||
      !SameHeaderName(value.substr(0, scheme.size()), scheme)) {
    return std::nullopt;
  }
  std::size_t start = value.find_first_not_of(' ', scheme.size());
  if (start == std::string_view::npos) return std::nullopt;
  std::string_view key = value.substr(start);
  bool has_space =
      std::any_of(key.begin(), key.end(), [](char c) { return c == ' ' || c == '\t'; });
  if (has_space) return std::nullopt;
  return key;
}

Authentication FindTenant(const std::vector<HeaderField>& headers, const KeyTable& table,
                          std::string_view scheme) {
  const HeaderField* authorization = FindHeader(headers, kAuthorizationHeader);
  if (authorization == nullptr) return {nullptr, "the request has no API key"};
  auto count = std::count_if(headers.begin(), headers.end(), [](const HeaderField& field) {
    return SameHeaderName(field.name, kAuthorizationHeader);
  });
  if (count > 1) return {nullptr, "the header Authorization occurs more than once"};
  auto key = KeyIn(authorization->value, scheme);
  if (!key) return {nullptr, "the header Authorization is malformed"};
  const Tenant* tenant = table.Find(*key);
  if (tenant == nullptr) return {nullptr, "the API key is not known", /*unknown_key=*/true};
  return {tenant, nullptr};
}

}  // namespace

Authentication Authenticate(const std::vector<HeaderField>& headers, const Route& route,
                            const KeyTable& table, std::string_view scheme) {
  Authentication result = FindTenant(headers, table, scheme);
  if (route.is_public) result.refusal = nullptr;
  return result;
}

}  // namespace damaskroute
