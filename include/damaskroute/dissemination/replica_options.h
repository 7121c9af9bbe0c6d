#ifndef DAMASKROUTE_DISSEMINATION_REPLICA_OPTIONS_H_
#define DAMASKROUTE_DISSEMINATION_REPLICA_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Periods and limits of a `ConfigReplica`.
struct ReplicaOptions {
  /// Number of peers to which a new revision is announced. They are chosen at random and kept while
  /// they are live, because a connection to a new peer costs more bytes than an announcement.
  std::size_t fan_out = 4;

  /// Time to wait for the response to a pull before another peer is tried.
  std::chrono::milliseconds pull_timeout{500};

  /// Time between attempts to pull the first document from a random peer.
  std::chrono::milliseconds bootstrap_period{1000};

  /// A node is behind if it knows of no contact between the store and any node within this time. An
  /// update takes some seconds to spread through the fleet.
  std::chrono::seconds behind_after{15};

  /// A node is also behind if it has known of a newer revision for this long without obtaining it.
  std::chrono::seconds missing_after{5};

  /// Maximum number of deltas kept for peers that are a few revisions behind.
  std::size_t max_deltas = 256;

  /// Maximum total size of the kept deltas, in bytes.
  std::size_t max_delta_bytes = std::size_t{1} << 20;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_REPLICA_OPTIONS_H_
