#ifndef DAMASKROUTE_HTTP_CALLER_CONNECTION_H_
#define DAMASKROUTE_HTTP_CALLER_CONNECTION_H_

#include <chrono>

namespace damaskroute {

/// Measurements of the network connection between a caller and this node.
struct CallerConnection {
  /// Round-trip time that the kernel measured on the caller's connection; zero if unknown.
  std::chrono::microseconds round_trip{};
  /// Whether the request is the first on its connection, so that the caller also waited for the
  /// connection to open.
  bool opened_connection = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CALLER_CONNECTION_H_
