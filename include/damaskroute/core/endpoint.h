#ifndef DAMASKROUTE_CORE_ENDPOINT_H_
#define DAMASKROUTE_CORE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace damaskroute {

/// IP address and port. Host names are not resolved.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Text form `address:port`, IPv6 addresses in brackets.
std::string FormatEndpoint(const Endpoint& endpoint);

/// Parses the text form. InvalidArgument if the address is not an IP address or the port is not
/// in the range 1 to 65535.
absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_ENDPOINT_H_
