#ifndef DAMASKROUTE_SCATTER_VERSION_MAP_H_
#define DAMASKROUTE_SCATTER_VERSION_MAP_H_

#include <cstdint>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"

namespace damaskroute {

/// A key range served by one set of replicas.
struct Segment {
  KeyRange range;
  std::vector<std::uint32_t> replicas;  ///< Positions in `ServiceView::replicas`, ascending.
};

/// Partition map of one index version, limited to replicas that can currently answer.
struct VersionMap {
  IndexVersion version = 0;
  std::vector<Segment> segments;  ///< Disjoint and ascending; gaps have no replica.
  std::uint64_t covered = 0;      ///< Number of keys in the segments.

  /// Returns the segment that contains `key`, or nullptr.
  const Segment* Find(std::uint64_t key) const;

  /// Returns the first segment that ends after `key`, or nullptr.
  const Segment* FirstEndingAfter(std::uint64_t key) const;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_VERSION_MAP_H_
