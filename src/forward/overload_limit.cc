#include "damaskroute/forward/overload_limit.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Part of the limit that is left after a strained query.
constexpr double kDecrease = 0.8;

// Queries that started before a decrease still show the strain, so the next one waits for about as
// long as a query takes.
constexpr std::chrono::milliseconds kDecreasePause{80};

// How long the load counts as too high after a strained query.
constexpr std::chrono::milliseconds kPressed{400};

// Above the limit of this size nothing is decided any more; it bounds the way down when a crowd
// comes.
constexpr double kMost = 64;
constexpr double kLeast = 4;

// Less urgent queries leave this part of the limit to urgent ones.
constexpr double kUrgentPart = 0.1;

}  // namespace

bool OverloadLimit::TryStart(bool urgent) {
  double limit = urgent ? limit_ : std::max(limit_ * (1 - kUrgentPart), 1.0);
  if (in_progress_ + 1 > limit) return false;
  ++in_progress_;
  return true;
}

void OverloadLimit::OnEnd(LoadSign sign, TimePoint now) {
  // A limit that is far from being reached says nothing about more load.
  int before = in_progress_ + 1;
  bool in_use = 2 * before >= limit_;
  if (sign == LoadSign::kFine && in_use) limit_ = std::min(limit_ + 1 / limit_, kMost);
  if (sign != LoadSign::kStrained || now < next_decrease_) return;
  next_decrease_ = now + kDecreasePause;
  pressed_until_ = now + kPressed;
  limit_ = std::max(std::min<double>(limit_, before) * kDecrease, kLeast);
}

}  // namespace damaskroute
