#ifndef DAMASKROUTE_HTTP_CALLER_WAY_H_
#define DAMASKROUTE_HTTP_CALLER_WAY_H_

#include <chrono>

namespace damaskroute {

/// What is known of the network between a caller and this node.
struct CallerWay {
  /// Round trip as the kernel has measured it on the caller's connection; zero if it is unknown.
  std::chrono::microseconds round_trip{};
  /// Whether the request is the first one on its connection, so that the caller has waited for the
  /// connection as well.
  bool opened_connection = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_HTTP_CALLER_WAY_H_
