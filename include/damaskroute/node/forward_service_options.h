#ifndef DAMASKROUTE_NODE_FORWARD_SERVICE_OPTIONS_H_
#define DAMASKROUTE_NODE_FORWARD_SERVICE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "damaskroute/forward/backend_table_options.h"

namespace damaskroute {

/// Settings of a `ForwardService`.
struct ForwardServiceOptions {
  BackendTableOptions backends;
  std::uint64_t seed = 0;
  std::optional<double> cpu_quota;  ///< Processor time of this node in cores; absent if unknown.
  /// Time limit for opening a connection to a backend server. Covers several round trips between
  /// zones and 6 ms in the server, but no retransmission of a lost packet.
  std::chrono::milliseconds connect_timeout{60};
  /// Time without a response after which the kernel aborts a connection to a backend server.
  std::chrono::milliseconds unresponsive_timeout{3000};
  /// Limit for all bodies of responses of servers and other nodes held in memory, not counting the
  /// first 64 KB of each.
  std::size_t max_held_bytes = std::size_t{64} << 20;
  /// Limits for open connections to backend servers and to other nodes.
  std::size_t max_server_connections = std::numeric_limits<std::size_t>::max();
  std::size_t max_peer_connections = std::numeric_limits<std::size_t>::max();
  /// Retry-After in refusals while the node has no routes yet or is shutting down.
  std::chrono::milliseconds refusal_retry{300};
  /// Requests with API keys do not run here while the configuration is older; absent for no limit.
  std::optional<std::chrono::milliseconds> max_configuration_age;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_SERVICE_OPTIONS_H_
