#ifndef DAMASKROUTE_PEER_PEER_IDENTITY_H_
#define DAMASKROUTE_PEER_PEER_IDENTITY_H_

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// A node process as its peers know it.
struct PeerIdentity {
  NodeName node;
  Incarnation incarnation = 0;
  Endpoint endpoint;  ///< Address of its peer port; messages to it are sent there.

  friend bool operator==(const PeerIdentity&, const PeerIdentity&) = default;
};

/// The sender of a message. A reply goes to `endpoint`.
using PeerContext = PeerIdentity;

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_IDENTITY_H_
