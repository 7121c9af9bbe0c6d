#ifndef DAMASKROUTE_QUOTA_QUOTA_TABLE_H_
#define DAMASKROUTE_QUOTA_QUOTA_TABLE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskroute/quota/quota_bounds.h"
#include "damaskroute/quota/quota_limit.h"
#include "damaskroute/routing/tenant.h"

namespace damaskroute {

/// Identifies a tenant in messages: a hash of its name.
using QuotaId = std::uint64_t;

/// Hash of a tenant's name, the same on all nodes.
QuotaId QuotaIdOf(std::string_view tenant);

/// The quotas of one version of the configuration. Tenants without a quota are not in it. The
/// tenants are divided into `kSlots` slots, each of which has one coordinator at a time.
class QuotaTable {
 public:
  static constexpr std::size_t kSlots = 4;

  static std::size_t SlotOf(QuotaId id) { return id % kSlots; }

  QuotaTable() = default;
  /// See `QuotaLimitOf` for `bounds` and `grant_validity`.
  QuotaTable(const std::vector<Tenant>& tenants, const QuotaBounds& bounds,
             std::chrono::milliseconds grant_validity);

  /// Null if the tenant has no quota.
  const QuotaLimit* Find(QuotaId id) const;

  const std::unordered_map<QuotaId, QuotaLimit>& slot(std::size_t index) const {
    return slots_[index];
  }
  bool empty() const;

 private:
  std::array<std::unordered_map<QuotaId, QuotaLimit>, kSlots> slots_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_QUOTA_QUOTA_TABLE_H_
