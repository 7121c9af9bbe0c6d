#include "damaskroute/forward/cold_gate.h"

namespace damaskroute {
namespace {

// Longer than the second of the rate limit: calls that are sent within 1.3 s may arrive within one
// second, as their network delays differ by up to 300 ms.
constexpr std::chrono::milliseconds kWindow{1300};

}  // namespace

bool ColdGate::Allows(TimePoint now) const {
  if (!IsCold(now)) return true;
  int recent = 0;
  for (TimePoint sent : recent_) recent += sent + kWindow > now ? 1 : 0;
  return recent + 1 <= node_rate_;
}

void ColdGate::OnSent(TimePoint now) {
  if (!IsCold(now)) return recent_.clear();
  while (!recent_.empty() && recent_.front() + kWindow <= now) recent_.pop_front();
  recent_.push_back(now);
}

}  // namespace damaskroute
