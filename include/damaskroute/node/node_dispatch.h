#ifndef DAMASKROUTE_NODE_NODE_DISPATCH_H_
#define DAMASKROUTE_NODE_NODE_DISPATCH_H_

#include <functional>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/peer/message.h"

namespace damaskroute {

/// How the parts of a node send messages. Both functions are thread-safe; a message to the node
/// itself is delivered without the network.
struct NodeDispatch {
  /// To a node of the roster. Returns false if its address is not known.
  std::function<bool(const NodeName&, Message)> to_node;

  /// To the sender of an earlier message.
  std::function<void(const Endpoint&, Message)> to_endpoint;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_NODE_DISPATCH_H_
