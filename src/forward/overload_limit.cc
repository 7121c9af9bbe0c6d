#include "damaskroute/forward/overload_limit.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Factor of the limit for each decrease.
constexpr double kDecreaseFactor = 0.8;

// Queries that started before a decrease still indicate overload, so the next decrease waits for
// about the duration of a query.
constexpr std::chrono::milliseconds kDecreaseInterval{80};

// How long the servers count as overloaded after a query that indicated it.
constexpr std::chrono::milliseconds kOverloadedTime{400};

// Limits above the maximum have no effect on admission; the bound shortens the time to adapt to a
// load spike.
constexpr double kMaxLimit = 64;
constexpr double kMinLimit = 4;

// Fraction of the limit that is reserved for urgent queries.
constexpr double kUrgentFraction = 0.1;

// Fraction of the limit up to which queries start that must not take the place of others. In
// `tests/tenant_admission_test.cc` with a limit of 5 above 4 slots, 84 of 100 queries per second
// are served under a flood, 74 at 0.5 and 70 at 0.34.
constexpr double kSpareFraction = 0.6;

}  // namespace

bool OverloadLimit::TryAcquire(bool urgent) {
  double limit = urgent ? limit_ : std::max(limit_ * (1 - kUrgentFraction), 1.0);
  if (in_progress_ + 1 > limit) return false;
  ++in_progress_;
  return true;
}

bool OverloadLimit::HasSpareRoom() const { return in_progress_ + 1 <= limit_ * kSpareFraction; }

void OverloadLimit::OnQueryEnded(LoadSignal signal, TimePoint now) {
  // A limit that is far from being reached does not show that more load is possible.
  int before = in_progress_ + 1;
  bool in_use = 2 * before >= limit_;
  if (signal == LoadSignal::kHealthy && in_use) limit_ = std::min(limit_ + 1 / limit_, kMaxLimit);
  if (signal != LoadSignal::kOverloaded || now < next_decrease_) return;
  next_decrease_ = now + kDecreaseInterval;
  overloaded_until_ = now + kOverloadedTime;
  limit_ = std::max(std::min<double>(limit_, before) * kDecreaseFactor, kMinLimit);
}

}  // namespace damaskroute
