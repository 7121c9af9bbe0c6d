#ifndef DAMASKROUTE_FORWARD_TENANT_USE_H_
#define DAMASKROUTE_FORWARD_TENANT_USE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "damaskroute/core/time.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Compares the rate of each tenant's recent requests at this node with its usual rate. A rise that
/// half of the active tenants share, such as a load spike of the whole deployment, counts as usual.
/// A tenant that is far above its usual rate raises it only slowly.
class TenantUse {
 public:
  /// `max_tenants`: number of tenants that are remembered, at least 4; beyond it, those without
  /// requests for the longest time are forgotten.
  explicit TenantUse(std::size_t max_tenants = 4096) : max_tenants_(max_tenants) {}

  /// Records a request, whether or not it runs.
  void OnRequest(const TenantName& tenant, TimePoint now);

  /// Part of the tenant's recent requests, 0 to 1, that is not far above its usual rate; 1 while
  /// too little was observed to know what is usual.
  double UsualFraction(const TenantName& tenant, TimePoint now);

  /// Forgets all tenants.
  void Clear();

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    double recent = 0;  // Requests per second as of `last`.
    double usual = 0;   // Requests per second, averaged over minutes.
    TimePoint last;
  };

  static double RecentAt(const Entry& entry, TimePoint now);
  bool KnowsUsual(TimePoint now) const;
  void ForgetIdle();
  double MedianRise(TimePoint now);

  const std::size_t max_tenants_;
  std::unordered_map<std::uint64_t, Entry> entries_;  // By hash of the name.
  TimePoint observed_since_ = TimePoint::max();       // The first request.
  TimePoint next_median_;
  double median_rise_ = 1;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_TENANT_USE_H_
