#ifndef DAMASKROUTE_NODE_NODE_COUNT_H_
#define DAMASKROUTE_NODE_NODE_COUNT_H_

#include <algorithm>
#include <set>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Number of nodes by which limits that all nodes share are divided. It counts the nodes that the
/// store lists, with room for some that joined meanwhile, and never less than `kLeastNodes`.
class NodeCount {
 public:
  /// Nodes of the smallest deployment. Used while the store lists none.
  static constexpr int kLeastNodes = 4;

  void Add(const NodeName& node) { nodes_.insert(node); }
  void Remove(const NodeName& node) { nodes_.erase(node); }

  /// Drops the nodes that are not in `present`.
  void Keep(const std::set<NodeName>& present) {
    std::erase_if(nodes_, [&](const NodeName& node) { return !present.contains(node); });
  }

  int count() const { return std::max(kLeastNodes, static_cast<int>(nodes_.size())); }

 private:
  std::set<NodeName> nodes_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_NODE_COUNT_H_
