#include "damaskroute/forward/early_repeats.h"

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

// More than a node refuses in the longest Retry-After of one second. A refusal that takes over the
// slot of another one only makes that one's repeat look like a new request.
constexpr std::size_t kSlots = 2048;

}  // namespace

void EarlyRepeats::OnRefused(const TenantName& tenant, std::uint64_t request_key,
                             TimePoint retry_at, TimePoint now) {
  if (tenant.empty() || IsEarly(tenant, request_key, now)) return;
  if (slots_.empty()) slots_.resize(kSlots);
  std::uint64_t key = Hash64(tenant, request_key);
  slots_[key % kSlots] = {key, retry_at};
}

bool EarlyRepeats::IsEarly(const TenantName& tenant, std::uint64_t request_key,
                           TimePoint now) const {
  if (tenant.empty() || slots_.empty()) return false;
  std::uint64_t key = Hash64(tenant, request_key);
  const Slot& slot = slots_[key % kSlots];
  return slot.key == key && now < slot.retry_at;
}

}  // namespace damaskroute
