#ifndef DAMASKROUTE_QUOTA_QUOTA_OPTIONS_H_
#define DAMASKROUTE_QUOTA_QUOTA_OPTIONS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "damaskroute/core/time.h"
#include "damaskroute/quota/quota_bounds.h"

namespace damaskroute {

/// Times and amounts of the quota protocol. All nodes must have the same bounds.
struct QuotaOptions {
  QuotaBounds bounds;
  /// Until an unused grant expires.
  std::chrono::milliseconds grant_validity{500};
  /// How long a request waits for a grant.
  std::chrono::milliseconds max_wait{60};
  /// Until a request for tokens is sent again, once.
  std::chrono::milliseconds retransmit_after{15};
  /// Least time before a share is used or leased after the node sees its own key in the store.
  std::chrono::milliseconds join_delay{3'000};

  /// Period of a lease. A node renews it after `RenewalOf`; a coordinator gets at most 100 renewals
  /// a second for a slot.
  static std::chrono::milliseconds PeriodFor(std::size_t nodes) {
    constexpr std::chrono::milliseconds kMinPeriod{1'000};
    constexpr std::chrono::milliseconds kPeriodPerNode{25};
    return std::max(kMinPeriod, kPeriodPerNode * static_cast<int>(nodes));
  }

  /// The stamp of a renewal was issued one renewal interval earlier, so that 0.6 of the period are
  /// left when the renewal arrives.
  static std::chrono::milliseconds RenewalOf(std::chrono::milliseconds period) {
    return period * 2 / 5;
  }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_OPTIONS_H_
