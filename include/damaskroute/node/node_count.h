#ifndef DAMASKROUTE_NODE_NODE_COUNT_H_
#define DAMASKROUTE_NODE_NODE_COUNT_H_

#include <chrono>
#include <map>
#include <set>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Number of nodes by which limits that all nodes share are divided. Too low a number breaks the
/// limits and too high a number only makes them tighter, so a node whose key is gone counts for a
/// while longer: its lease may have ended in an outage of the store while it lives.
class NodeCount {
 public:
  /// Nodes of the smallest deployment. Used while the store lists fewer.
  static constexpr int kLeastNodes = 4;

  /// How long a node counts after its key is gone: longer than an outage of the store and the time
  /// in which a living node opens a new lease.
  static constexpr std::chrono::seconds kRemembered{30};

  void Add(const NodeName& node) { gone_since_.insert_or_assign(node, TimePoint::max()); }

  void Remove(const NodeName& node, TimePoint now);

  /// Removes the nodes that are not in `present`.
  void Keep(const std::set<NodeName>& present, TimePoint now);

  int Count(TimePoint now) const;

 private:
  std::map<NodeName, TimePoint> gone_since_;  // `max()` while the key is there.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_NODE_COUNT_H_
