#include "damaskroute/forward/tenant_admission.h"

#include <optional>

namespace damaskroute {

void TenantAdmission::SetRoutes(const std::shared_ptr<const RouteTable>& routes) {
  if (routes == routes_) return;
  routes_ = routes;
  priorities_.clear();
  for (const Tenant& tenant : routes->document().tenants) {
    if (tenant.priority) priorities_.emplace(tenant.name, *tenant.priority);
  }
  has_tenants_ = !routes->document().tenants.empty();
  if (has_tenants_) return;
  use_.Clear();
  shares_.clear();
}

FairShareDecision TenantAdmission::Admit(const TenantRequest& request, TimePoint now) {
  if (!has_tenants_) return FairShareDecision::kAdmitFirst;
  use_.OnRequest(request.tenant, now);
  auto share = shares_.find(request.servers);
  if (share == shares_.end()) return FairShareDecision::kAdmitFirst;
  if (share->second.IsIdle(now)) {
    shares_.erase(share);
    return FairShareDecision::kAdmitFirst;
  }
  auto own = priorities_.find(request.tenant);
  int priority = own == priorities_.end() ? request.route_priority : own->second;
  std::optional<double> usual;
  if (!request.early_repeat) usual = use_.UsualFraction(request.tenant, now);
  return share->second.Admit(request.tenant, priority, usual, now);
}

void TenantAdmission::OnServed(ServerSet servers, TimePoint now) {
  auto share = shares_.find(servers);
  if (share != shares_.end()) share->second.OnServed(now);
}

bool TenantAdmission::OnTurnedAway(ServerSet servers, TimePoint now) {
  if (!has_tenants_) return false;
  auto share = shares_.find(servers);
  bool begins = share == shares_.end();
  if (begins) {
    std::erase_if(shares_, [now](const auto& item) { return item.second.IsIdle(now); });
    share = shares_.try_emplace(servers, random_.Next(), now).first;
  }
  share->second.OnTurnedAway(now);
  return begins;
}

void TenantAdmission::OnRefused(const TenantName& tenant) {
  if (has_tenants_ && !tenant.empty()) refusals_.OnRefused(tenant);
}

}  // namespace damaskroute
