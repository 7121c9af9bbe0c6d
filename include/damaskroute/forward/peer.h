#ifndef DAMASKROUTE_FORWARD_PEER_H_
#define DAMASKROUTE_FORWARD_PEER_H_

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Another node, which accepts requests of nodes that cannot serve them.
struct Peer {
  NodeName name;
  ZoneName zone;
  Endpoint endpoint;

  friend bool operator==(const Peer&, const Peer&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_PEER_H_
