#ifndef DAMASKROUTE_SHARES_SHARE_EPOCH_H_
#define DAMASKROUTE_SHARES_SHARE_EPOCH_H_

#include <compare>
#include <cstdint>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Number of a step in the ownership of a share; unique, and a later step of the same share has a
/// greater one. The roster revision comes first, so that a step of a node that was removed or
/// restarted is below every step made under the later roster.
struct ShareEpoch {
  Revision roster = 0;
  std::uint64_t counter = 0;
  NodeName node;  ///< Node that made the step.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the comparison of the members.
  friend auto operator<=>(const ShareEpoch&, const ShareEpoch&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_EPOCH_H_
