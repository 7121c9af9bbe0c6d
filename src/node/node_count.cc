#include "damaskroute/node/node_count.h"

#include <algorithm>

namespace damaskroute {

void NodeCount::Remove(const NodeName& node, TimePoint now) {
  auto found = gone_since_.find(node);
  if (found != gone_since_.end()) found->second = std::min(found->second, now);
}

void NodeCount::Keep(const std::set<NodeName>& present, TimePoint now) {
  for (auto& [node, since] : gone_since_) {
    if (!present.contains(node)) since = std::min(since, now);
  }
}

int NodeCount::Count(TimePoint now) const {
  auto count = std::count_if(gone_since_.begin(), gone_since_.end(), [now](const auto& node) {
    return node.second == TimePoint::max() || now - node.second < kRemembered;
  });
  return std::max(kLeastNodes, static_cast<int>(count));
}

}  // namespace damaskroute
