#ifndef DAMASKROUTE_SHARES_SHARE_KEY_H_
#define DAMASKROUTE_SHARES_SHARE_KEY_H_

#include <compare>

#include "damaskroute/core/ids.h"
#include "damaskroute/placement/share.h"

namespace damaskroute {

/// Identifies one half of the limits of a backend server.
struct ShareKey {
  BackendName backend;
  ShareHalf half = ShareHalf::kFirst;

  friend auto operator<=>(const ShareKey&, const ShareKey&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_KEY_H_
