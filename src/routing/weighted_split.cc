#include "damaskroute/routing/weighted_split.h"

#include <algorithm>

namespace damaskroute {

std::size_t WeightedSplit::Next(const std::vector<WeightedService>& targets) {
  if (targets.size() == 1) return 0;
  if (credit_.size() != targets.size()) credit_.assign(targets.size(), 0);
  double total = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    credit_[i] += targets[i].weight;
    total += targets[i].weight;
  }
  auto chosen = static_cast<std::size_t>(
      std::distance(credit_.begin(), std::max_element(credit_.begin(), credit_.end())));
  credit_[chosen] -= total;
  return chosen;
}

}  // namespace damaskroute
