#ifndef DAMASKROUTE_FORWARD_TENANT_ADMISSION_H_
#define DAMASKROUTE_FORWARD_TENANT_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "damaskroute/core/time.h"
#include "damaskroute/forward/fair_share.h"
#include "damaskroute/forward/tenant_refusals.h"
#include "damaskroute/forward/tenant_use.h"
#include "damaskroute/routing/route_table.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Servers that requests compete for: a hash of the shards of a query, or of a service.
using ServerSet = std::uint64_t;

/// A request for which `TenantAdmission` decides.
struct TenantRequest {
  ServerSet servers = 0;
  const TenantName& tenant;  ///< Empty if the request has none.
  int route_priority = 0;
  bool early_repeat = false;  ///< Sent again before the time that a refusal stated.
};

/// Decides by tenant which requests may run where servers have too little capacity. Without
/// tenants, and while no server is overloaded, it admits all requests.
class TenantAdmission {
 public:
  explicit TenantAdmission(std::uint64_t seed) : random_(seed) {}

  /// Sets the routes in force, with their tenants. Cheap if they have not changed.
  void SetRoutes(const std::shared_ptr<const RouteTable>& routes);

  bool has_tenants() const { return has_tenants_; }

  /// Counts a request and decides whether it may run.
  FairShareDecision Admit(const TenantRequest& request, TimePoint now);

  /// The servers accepted an admitted request.
  void OnServed(ServerSet servers, TimePoint now);

  /// The servers, or the limit of their queries, had no capacity for an admitted request. Returns
  /// whether this begins an overload of the servers.
  bool OnTurnedAway(ServerSet servers, TimePoint now);

  /// Counts a request that was refused with 503 because of too much load.
  void OnRefused(const TenantName& tenant);

  const TenantRefusals& refusals() const { return refusals_; }

  /// Whether the requests to these servers are limited by tenant.
  bool IsLimited(ServerSet servers) const { return shares_.contains(servers); }

  /// Number of sets of servers that are overloaded.
  std::size_t overloaded() const { return shares_.size(); }

 private:
  std::shared_ptr<const RouteTable> routes_;
  bool has_tenants_ = false;
  std::unordered_map<TenantName, int> priorities_;  // Of tenants with a priority of their own.
  Random random_;
  TenantUse use_;
  std::unordered_map<ServerSet, FairShare> shares_;  // Of overloaded servers only.
  TenantRefusals refusals_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_TENANT_ADMISSION_H_
