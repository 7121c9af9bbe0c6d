#ifndef DAMASKROUTE_DISSEMINATION_REPLICA_STATUS_H_
#define DAMASKROUTE_DISSEMINATION_REPLICA_STATUS_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/content_hash.h"

namespace damaskroute {

/// How current a replica is.
struct ReplicaStatus {
  Revision revision = 0;  ///< 0 if there is no document yet.
  ContentHash hash = 0;
  Revision greatest_seen = 0;  ///< Greatest revision that any message has named.
  /// Since the store last confirmed the revision to a node from which this one has heard, directly
  /// or through others.
  std::chrono::milliseconds age{0};
  /// Cut off from the store and from all peers in contact with it, or unable to get a revision
  /// that exists.
  bool behind = false;
  std::uint64_t refused = 0;    ///< Documents with a wrong hash or a delta that does not fit.
  std::uint64_t conflicts = 0;  ///< Other contents under the own revision; ignored.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_REPLICA_STATUS_H_
