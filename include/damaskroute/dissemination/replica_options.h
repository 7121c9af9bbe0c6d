#ifndef DAMASKROUTE_DISSEMINATION_REPLICA_OPTIONS_H_
#define DAMASKROUTE_DISSEMINATION_REPLICA_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Periods and limits of a `ConfigReplica`.
struct ReplicaOptions {
  /// Peers to which a new revision is announced. They are chosen at random and kept while they
  /// live, because a connection to a new peer costs more bytes than an announcement.
  std::size_t fan_out = 4;

  /// Wait for the answer to a pull before another peer is asked.
  std::chrono::milliseconds pull_timeout{500};

  /// Time between attempts to get a first document from a random peer.
  std::chrono::milliseconds bootstrap_period{1000};

  /// Without news of a contact between the store and any node for this long, the node is behind.
  /// The news takes some seconds through the fleet.
  std::chrono::seconds behind_after{15};

  /// A revision that is known to exist but has not been obtained for this long makes the node
  /// behind as well.
  std::chrono::seconds missing_after{5};

  /// Differences kept for peers that are some revisions back.
  std::size_t max_deltas = 256;

  /// Total size of the differences kept, in bytes.
  std::size_t max_delta_bytes = std::size_t{1} << 20;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_REPLICA_OPTIONS_H_
