#ifndef DAMASKROUTE_HTTP_CLIENT_LIMITS_H_
#define DAMASKROUTE_HTTP_CLIENT_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Size and time limits of one client connection. Can change while a server runs.
struct ClientLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  /// No header of 16 KB has more fields, since a field takes at least four bytes.
  std::size_t max_header_fields = 4096;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::chrono::milliseconds header_timeout{5'000};  ///< From the first byte to the last header.
  std::chrono::milliseconds idle_timeout{30'000};   ///< Between requests.

  friend bool operator==(const ClientLimits&, const ClientLimits&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CLIENT_LIMITS_H_
