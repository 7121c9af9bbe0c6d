#include "damaskroute/relay/relay_choice.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "damaskroute/core/hash.h"

namespace damaskroute {

std::vector<Endpoint> ChooseRelays(const NodeName& self, const ZoneName& zone,
                                   const std::map<NodeName, NodeRecord>& nodes) {
  std::vector<std::pair<std::uint64_t, NodeName>> order;
  for (const auto& [name, record] : nodes) {
    if (record.zone == zone && record.relay_endpoint) order.emplace_back(Hash64(name), name);
  }
  std::sort(order.begin(), order.end());
  std::size_t readers =
      std::max(kMinReaders, (order.size() + kNodesPerReader - 1) / kNodesPerReader);
  order.resize(std::min(order.size(), readers));
  std::vector<Endpoint> relays;
  for (const auto& [hash, name] : order) {
    if (name == self) return {};
    relays.push_back(*nodes.at(name).relay_endpoint);
  }
  if (!relays.empty()) {
    auto first = static_cast<std::ptrdiff_t>(Hash64(self) % relays.size());
    std::rotate(relays.begin(), relays.begin() + first, relays.end());
    relays.resize(std::min(relays.size(), kRelaysPerNode));
  }
  return relays;
}

}  // namespace damaskroute
