#ifndef DAMASKROUTE_PEER_PEER_IDENTITY_H_
#define DAMASKROUTE_PEER_PEER_IDENTITY_H_

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Identifies a node process to its peers.
struct PeerIdentity {
  NodeName node;
  Incarnation incarnation = 0;
  Endpoint endpoint;  ///< Address of its peer port, where it receives messages.

  friend bool operator==(const PeerIdentity&, const PeerIdentity&) = default;
};

/// The sender of a message. Replies must be sent to its `endpoint`.
using PeerContext = PeerIdentity;

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_PEER_IDENTITY_H_
