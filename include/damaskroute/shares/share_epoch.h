#ifndef DAMASKROUTE_SHARES_SHARE_EPOCH_H_
#define DAMASKROUTE_SHARES_SHARE_EPOCH_H_

#include <compare>
#include <cstdint>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Identifies a change of ownership of a share. Unique, and increasing with each change of the same
/// share. The roster revision is compared first, so that a change by a node that was removed or
/// restarted orders before every change made under the later roster.
struct ShareEpoch {
  Revision roster = 0;
  std::uint64_t counter = 0;
  NodeName node;  ///< Node that made the change.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the comparison of the members.
  friend auto operator<=>(const ShareEpoch&, const ShareEpoch&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_EPOCH_H_
