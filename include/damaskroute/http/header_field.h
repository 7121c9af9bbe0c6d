#ifndef DAMASKROUTE_HTTP_HEADER_FIELD_H_
#define DAMASKROUTE_HTTP_HEADER_FIELD_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/match.h"

namespace damaskroute {

/// One header field of an HTTP message, as received or to be sent.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Name of the header with a caller's credentials.
inline constexpr char kAuthorizationHeader[] = "Authorization";

/// Whether both are the same header name, ignoring case.
inline bool SameHeaderName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

/// Returns the first header named `name`, or nullptr.
inline const HeaderField* FindHeader(const std::vector<HeaderField>& headers,
                                     std::string_view name) {
  for (const HeaderField& field : headers) {
    if (SameHeaderName(field.name, name)) return &field;
  }
  return nullptr;
}

/// Returns the value of the first header named `name`; empty if there is none.
inline std::string_view HeaderValue(const std::vector<HeaderField>& headers,
                                    std::string_view name) {
  const HeaderField* field = FindHeader(headers, name);
  return field == nullptr ? std::string_view() : std::string_view(field->value);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_HEADER_FIELD_H_
