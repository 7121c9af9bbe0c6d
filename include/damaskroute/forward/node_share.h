#ifndef DAMASKROUTE_FORWARD_NODE_SHARE_H_
#define DAMASKROUTE_FORWARD_NODE_SHARE_H_

namespace damaskroute {

/// This node's part of `total` calls that all nodes may send: an equal whole number for each, and
/// one more for as many of the first nodes as calls remain. `position`: number of nodes that
/// precede this one. Requires `nodes` > 0.
constexpr int NodeShare(int total, int nodes, int position) {
  return total / nodes + (position < total % nodes ? 1 : 0);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_NODE_SHARE_H_
