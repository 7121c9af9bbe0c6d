#include "damaskroute/quota/quota_table.h"

#include <algorithm>
#include <cmath>

#include "damaskroute/core/hash.h"
#include "damaskroute/quota/quota_limit_of.h"

namespace damaskroute {

QuotaId QuotaIdOf(std::string_view tenant) { return Hash64(tenant); }

QuotaTable::QuotaTable(const std::vector<Tenant>& tenants, const QuotaBounds& bounds,
                       std::chrono::milliseconds grant_validity) {
  for (const Tenant& tenant : tenants) {
    if (!std::isfinite(tenant.rate_per_s) || tenant.rate_per_s <= 0) continue;
    QuotaId id = QuotaIdOf(tenant.name);
    slots_[SlotOf(id)].insert_or_assign(id, QuotaLimitOf(tenant, bounds, grant_validity));
  }
}

const QuotaLimit* QuotaTable::Find(QuotaId id) const {
  const auto& slot = slots_[SlotOf(id)];
  auto found = slot.find(id);
  return found == slot.end() ? nullptr : &found->second;
}

bool QuotaTable::empty() const {
  return std::all_of(slots_.begin(), slots_.end(), [](const auto& slot) { return slot.empty(); });
}

}  // namespace damaskroute
