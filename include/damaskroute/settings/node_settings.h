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

/// Settings of `damaskrouted`, read once at startup.
struct NodeSettings {
  NodeName node;
  ZoneName zone;
  int loops = 4;  ///< Number of event loops, each with its own thread.
  LogLevel log_level = LogLevel::kInfo;
  Endpoint callers;
  std::size_t max_caller_connections = 4096;
  Endpoint operators;
  int operator_threads = 2;
  std::string operator_token;  ///< Read from `token_file`; never logged.
  Endpoint peers;              ///< The port is used for both TCP and UDP.
  PeerKeys peer_keys;
  std::vector<Endpoint> seeds;  ///< Peers that the node contacts to join.
  Endpoint store;
  double backends_per_node = 4.7;

  /// Maximum duration of a call to a backend server, including the wait at the holder, regardless
  /// of the caller's deadline. Must be the same on all nodes: the shares of a dead node are reused
  /// after this time.
  std::chrono::milliseconds longest_call{10'000};

  /// How long requests are still accepted after SIGTERM.
  std::chrono::milliseconds drain_time{5000};
};

/// Parses the YAML text of a settings file. `file` is used in error messages and to resolve a
/// relative path of the token file. Errors are InvalidArgument with a message of the form
/// `FILE:LINE:COLUMN: what was expected`.
absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& file, const std::string& text);

/// Reads and parses a settings file. NotFound if it cannot be read.
absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& file);

}  // namespace damaskroute

#endif  // DAMASKROUTE_SETTINGS_NODE_SETTINGS_H_
