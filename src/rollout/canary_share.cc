#include "damaskroute/rollout/canary_share.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Fraction of the share that a node uses: the rest covers calls that other nodes count differently.
constexpr double kShareFraction = 0.8;

// Fraction of the slack that all nodes together use. The rest covers nodes that are not counted yet
// and calls that are sent before a decision is known.
constexpr double kSlackFraction = 0.7;

// The slack becomes available over this fraction of the time. At a node with few calls, the last
// part of the time may pass without one.
constexpr double kSpreadFraction = 0.8;

}  // namespace

bool CanaryShare::Allows(TimePoint now) const {
  double allowed =
      kShareFraction * share_ * static_cast<double>(calls_) + static_cast<double>(SlackAt(now));
  return static_cast<double>(target_calls_ + 1) <= allowed;
}

// The calls of the slack are numbered, and the node gets every `nodes_`-th one.
std::int64_t CanaryShare::SlackAt(TimePoint now) const {
  auto total = static_cast<std::int64_t>(slack_ * kSlackFraction);
  if (total <= position_) return 0;
  double elapsed = std::chrono::duration<double>(now - start_).count();
  double span = std::chrono::duration<double>(end_ - start_).count() * kSpreadFraction;
  double progress = span <= 0 ? 1 : std::clamp(elapsed / span, 0.0, 1.0);
  auto due = static_cast<std::int64_t>(static_cast<double>(total) * progress);
  if (due <= position_) return 0;
  return (due - position_ - 1) / std::max(nodes_, 1) + 1;
}

}  // namespace damaskroute
