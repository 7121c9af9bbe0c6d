#ifndef DAMASKROUTE_PEER_CONFIG_PULL_H_
#define DAMASKROUTE_PEER_CONFIG_PULL_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/content_hash.h"

namespace damaskroute {

/// Requests the receiver's current revision, as deltas from that of the sender if possible.
struct ConfigPull {
  Revision base_revision = 0;  ///< Revision that the sender has, 0 for none.
  ContentHash base_hash = 0;

  friend bool operator==(const ConfigPull&, const ConfigPull&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CONFIG_PULL_H_
