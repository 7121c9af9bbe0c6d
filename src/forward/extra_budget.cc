#include "damaskroute/forward/extra_budget.h"

#include <algorithm>

namespace damaskroute {

// Extra calls are counted over one slice more than the window, so that no interval of the window's
// length holds more of them than allowed, wherever it begins.
void ExtraBudget::Advance(const ExtraBudgetOptions& options, TimePoint now) {
  auto width = std::chrono::duration_cast<Duration>(options.window) / (kSlices - 1);
  std::int64_t position = now.time_since_epoch() / width;
  std::int64_t steps = std::min<std::int64_t>(position - position_, kSlices);
  for (std::int64_t i = 1; i <= steps; ++i) {
    auto index = static_cast<std::size_t>((position - steps + i) % static_cast<int>(kSlices));
    Slice& slice = slices_[index];
    requests_ -= slice.requests;
    extras_ -= slice.extras;
    slice = {};
  }
  position_ = std::max(position, position_);
}

void ExtraBudget::OnRequest(const ExtraBudgetOptions& options, TimePoint now) {
  Advance(options, now);
  ++slices_[static_cast<std::size_t>(position_) % kSlices].requests;
  ++requests_;
}

bool ExtraBudget::TryTake(const ExtraBudgetOptions& options, ExtraKind kind, TimePoint now) {
  Advance(options, now);
  double limit = options.ratio * requests_ + options.node_slack;
  if (kind == ExtraKind::kHedge) limit *= kHedgeFraction;
  if (extras_ + 1 > limit) return false;
  ++slices_[static_cast<std::size_t>(position_) % kSlices].extras;
  ++extras_;
  return true;
}

}  // namespace damaskroute
