#include "damaskroute/forward/tenant_refusals.h"

#include <algorithm>

namespace damaskroute {

void TenantRefusals::OnRefused(const TenantName& tenant) {
  auto found = counts_.find(tenant);
  if (found != counts_.end()) {
    ++found->second;
    return;
  }
  std::uint64_t taken_over = 0;
  if (counts_.size() >= kMaxCounters) {
    auto smallest =
        std::min_element(counts_.begin(), counts_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    taken_over = smallest->second;
    counts_.erase(smallest);
  }
  counts_.emplace(tenant, taken_over + 1);
}

std::vector<std::pair<TenantName, std::uint64_t>> TenantRefusals::Top(std::size_t count) const {
  std::vector<std::pair<TenantName, std::uint64_t>> top(counts_.begin(), counts_.end());
  auto last = top.begin() + static_cast<std::ptrdiff_t>(std::min(count, top.size()));
  std::partial_sort(top.begin(), last, top.end(),
                    [](const auto& a, const auto& b) { return a.second > b.second; });
  top.erase(last, top.end());
  return top;
}

}  // namespace damaskroute
