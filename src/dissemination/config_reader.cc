#include "damaskroute/dissemination/config_reader.h"

#include <algorithm>

#include "damaskroute/core/hash.h"

namespace damaskroute {

bool IsConfigReader(const Member& self, const std::vector<Member>& members) {
  constexpr std::ptrdiff_t kReadersPerZone = 2;
  std::uint64_t local_weight = RendezvousWeight("config-reader", self.node);
  auto lower_count = std::count_if(members.begin(), members.end(), [&](const Member& member) {
    if (member.node == self.node || member.zone != self.zone || !member.IsLive()) return false;
    std::uint64_t weight = RendezvousWeight("config-reader", member.node);
    return weight < local_weight || (weight == local_weight && member.node < self.node);
  });
  return lower_count < kReadersPerZone;
}

}  // namespace damaskroute
