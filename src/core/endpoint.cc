#include "damaskroute/core/endpoint.h"

#include <charconv>

#include "damaskroute/core/asio.h"
#include "fmt/compile.h"
#include "fmt/format.h"

namespace damaskroute {

std::string FormatEndpoint(const Endpoint& endpoint) {
  bool is_v6 = endpoint.address.find(':') != std::string::npos;
  return is_v6 ? fmt::format(FMT_COMPILE("[{}]:{}"), endpoint.address, endpoint.port)
               : fmt::format(FMT_COMPILE("{}:{}"), endpoint.address, endpoint.port);
}

absl::StatusOr<Endpoint> ParseEndpoint(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError(fmt::format("expected address:port, got \"{}\"", text));
  }
  std::string_view address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  boost::system::error_code error;
  auto ip_address = asio::ip::make_address(std::string(address), error);
  if (error) {
    return absl::InvalidArgumentError(
        fmt::format("expected an IP number before the port, got \"{}\"", text));
  }
  // Normalizes the address, because endpoints are compared as text.
  Endpoint endpoint{ip_address.to_string(), 0};
  std::string_view port = text.substr(colon + 1);
  auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size() || endpoint.port == 0) {
    return absl::InvalidArgumentError(
        fmt::format("expected a port from 1 to 65535, got \"{}\"", text));
  }
  return endpoint;
}

}  // namespace damaskroute
