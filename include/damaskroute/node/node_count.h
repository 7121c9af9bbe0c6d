#ifndef DAMASKROUTE_NODE_NODE_COUNT_H_
#define DAMASKROUTE_NODE_NODE_COUNT_H_

#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Number of nodes by which the limits shared by all nodes are divided. Too low a number exceeds
/// the limits, whereas too high a number only makes them stricter. A node whose key was removed is
/// therefore counted for some time longer: its lease may have expired during an outage of the store
/// while the node is alive.
class NodeCount {
 public:
  /// Number of nodes of the smallest deployment; the lower limit of `Count`.
  static constexpr int kMinNodes = 4;

  /// How long a node is counted after its key was removed: longer than an outage of the store plus
  /// the time in which a live node obtains a new lease.
  static constexpr std::chrono::seconds kRemovedNodeRetention{30};

  void Add(const NodeName& node) { removed_at_.insert_or_assign(node, TimePoint::max()); }

  void Remove(const NodeName& node, TimePoint now);

  /// Treats all nodes that are not in `present` as removed.
  void RetainOnly(const std::set<NodeName>& present, TimePoint now);

  int Count(TimePoint now) const;

  /// The counted nodes, in ascending order.
  std::vector<NodeName> Counted(TimePoint now) const;

 private:
  static bool IsCounted(TimePoint removed_at, TimePoint now) {
    return removed_at == TimePoint::max() || now - removed_at < kRemovedNodeRetention;
  }

  std::map<NodeName, TimePoint> removed_at_;  // `max()` while the key is present.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_NODE_COUNT_H_
