#include "damaskroute/scatter/service_view.h"

#include <algorithm>

namespace damaskroute {

const Segment* VersionMap::FirstEndingAfter(std::uint64_t key) const {
  auto it = std::upper_bound(
      segments.begin(), segments.end(), key,
      [](std::uint64_t value, const Segment& segment) { return value < segment.range.high; });
  return it == segments.end() ? nullptr : &*it;
}

const Segment* VersionMap::Find(std::uint64_t key) const {
  const Segment* segment = FirstEndingAfter(key);
  return segment != nullptr && segment->range.low <= key ? segment : nullptr;
}

const VersionMap* ServiceView::Find(IndexVersion version) const {
  auto it = std::find_if(versions.begin(), versions.end(),
                         [&](const VersionMap& map) { return map.version == version; });
  return it == versions.end() ? nullptr : &*it;
}

std::optional<IndexVersion> ChooseVersion(const ServiceView& view) {
  const VersionMap* best = nullptr;
  for (const VersionMap& map : view.versions) {
    if (map.covered > (best == nullptr ? 0 : best->covered)) best = &map;
    if (map.covered == kKeySpaceSize) break;
  }
  if (best == nullptr) return std::nullopt;
  return best->version;
}

}  // namespace damaskroute
