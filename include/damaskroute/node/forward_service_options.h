#ifndef DAMASKROUTE_NODE_FORWARD_SERVICE_OPTIONS_H_
#define DAMASKROUTE_NODE_FORWARD_SERVICE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "damaskroute/forward/backend_table_options.h"

namespace damaskroute {

/// Settings of a `ForwardService`.
struct ForwardServiceOptions {
  BackendTableOptions backends;
  std::uint64_t seed = 0;
  /// For opening a connection to a backend server: some round trips between zones, the server's own
  /// 6 ms, and one lost packet less.
  std::chrono::milliseconds connect_timeout{60};
  /// After which the kernel gives up a silent connection to a backend server.
  std::chrono::milliseconds silence_timeout{3000};
  /// Bodies of servers' answers that are held at the same time, beyond the first 64 KB of each. The
  /// smallest machines have 260 MB.
  std::size_t max_held_bytes = std::size_t{64} << 20;
  /// Retry-After of a node that has no routes yet, or too many queries.
  std::chrono::milliseconds refusal_retry{300};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_SERVICE_OPTIONS_H_
