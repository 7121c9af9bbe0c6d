#include "damaskroute/forward/early_repeats.h"

namespace damaskroute {
namespace {

// More than a node refuses in the longest Retry-After of one second. A refusal that takes over the
// slot of another one only makes that one's repeat look like a new request.
constexpr std::size_t kSlots = 2048;

}  // namespace

void EarlyRepeats::OnRefused(std::uint64_t request_key, TimePoint retry_at, TimePoint now) {
  if (IsEarly(request_key, now)) return;
  if (slots_.empty()) slots_.resize(kSlots);
  slots_[request_key % kSlots] = {request_key, retry_at};
}

bool EarlyRepeats::IsEarly(std::uint64_t request_key, TimePoint now) const {
  if (slots_.empty()) return false;
  const Slot& slot = slots_[request_key % kSlots];
  return slot.request_key == request_key && now < slot.retry_at;
}

}  // namespace damaskroute
