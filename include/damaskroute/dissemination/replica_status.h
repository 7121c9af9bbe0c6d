#ifndef DAMASKROUTE_DISSEMINATION_REPLICA_STATUS_H_
#define DAMASKROUTE_DISSEMINATION_REPLICA_STATUS_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/content_hash.h"

namespace damaskroute {

/// State of a `ConfigReplica` and how up to date it is.
struct ReplicaStatus {
  Revision revision = 0;  ///< 0 if there is no document yet.
  ContentHash hash = 0;
  Revision max_seen_revision = 0;  ///< Greatest revision named in any message.
  /// Time since the latest store contact that this node knows of, its own or one reported by other
  /// nodes.
  std::chrono::milliseconds age{0};
  /// There is no document, the node is isolated from the store and from all peers in contact with
  /// it, or it cannot obtain a revision that exists.
  bool behind = false;
  std::uint64_t rejected = 0;   ///< Documents with a wrong hash or a delta that does not fit.
  std::uint64_t conflicts = 0;  ///< Different contents under this node's revision; ignored.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_REPLICA_STATUS_H_
