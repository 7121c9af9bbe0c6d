#ifndef DAMASKROUTE_SETTINGS_NODE_SETTINGS_H_
#define DAMASKROUTE_SETTINGS_NODE_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/log/log_level.h"
#include "damaskroute/peer/peer_keys.h"

namespace damaskroute {

/// Settings of `damaskrouted`, read once at start.
struct NodeSettings {
  NodeName node;
  ZoneName zone;
  int loops = 4;  ///< Event loops, one thread each.
  LogLevel log_level = LogLevel::kInfo;
  Endpoint callers;
  std::size_t max_caller_connections = 4096;
  Endpoint operators;
  int operator_threads = 2;
  std::string operator_token;  ///< Read from `token_file`; never logged.
  Endpoint peers;              ///< Port for TCP and UDP.
  PeerKeys peer_keys;
  std::vector<Endpoint> seeds;  ///< Peers to join through.
  Endpoint store;
  double backends_per_node = 4.7;

  /// Longest time of a call to a backend server, waiting at the holder included, whatever the
  /// caller's deadline. The same on all nodes: the shares of a dead node are used again after it.
  std::chrono::milliseconds longest_call{10'000};
  std::chrono::milliseconds drain_time{5000};  ///< Requests are accepted for so long after SIGTERM.
};

/// Parses the YAML text of a settings file. `file` is used in messages and to find the token file
/// when its path is relative. InvalidArgument with `FILE:LINE:COLUMN: what was expected`.
absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& file, const std::string& text);

/// Reads and parses a settings file. NotFound if it cannot be read.
absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& file);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_NODE_SETTINGS_H_
