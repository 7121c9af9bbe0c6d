#ifndef DAMASKROUTE_FORWARD_TENANT_REFUSALS_H_
#define DAMASKROUTE_FORWARD_TENANT_REFUSALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Counts the refused requests of the tenants with the most of them, in bounded memory. Once there
/// are more than `kMaxCounters` tenants, a new one takes over the smallest count, so counts may be
/// too high by that much; the greatest ones are nearly exact. Metwally, Agrawal and El Abbadi,
/// "Efficient computation of frequent and top-k elements in data streams", 2005.
class TenantRefusals {
 public:
  static constexpr std::size_t kMaxCounters = 256;

  void OnRefused(const TenantName& tenant);

  /// Up to `count` tenants with the most refusals, in descending order.
  std::vector<std::pair<TenantName, std::uint64_t>> Top(std::size_t count) const;

 private:
  std::map<TenantName, std::uint64_t> counts_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_TENANT_REFUSALS_H_
