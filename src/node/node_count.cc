#include "damaskroute/node/node_count.h"

#include <algorithm>

namespace damaskroute {

void NodeCount::Remove(const NodeName& node, TimePoint now) {
  auto found = removed_at_.find(node);
  if (found != removed_at_.end()) found->second = std::min(found->second, now);
}

void NodeCount::RetainOnly(const std::set<NodeName>& present, TimePoint now) {
  for (auto& [node, removed_at] : removed_at_) {
    if (!present.contains(node)) removed_at = std::min(removed_at, now);
  }
}

int NodeCount::Count(TimePoint now) const {
  auto count = std::count_if(removed_at_.begin(), removed_at_.end(),
                             [now](const auto& node) { return IsCounted(node.second, now); });
  return std::max(kMinNodes, static_cast<int>(count));
}

std::vector<NodeName> NodeCount::Counted(TimePoint now) const {
  std::vector<NodeName> nodes;
  for (const auto& [node, removed_at] : removed_at_) {
    if (IsCounted(removed_at, now)) nodes.push_back(node);
  }
  return nodes;
}

}  // namespace damaskroute
