#include "damaskroute/forward/timer_delay.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Weights of a new sample in mean and deviation, and the number of deviations (RFC 6298).
constexpr int kMeanSamples = 8;
constexpr int kDeviationSamples = 4;
constexpr int kDeviations = 4;

// Before the first sample, and at least: the scheduling delay of an idle machine is below 1 ms, and
// an answer still has to be written.
constexpr std::chrono::milliseconds kUnknown{3};
constexpr std::chrono::milliseconds kLeast{2};
// A node that is later than this was frozen or cut, which says nothing about the next timer.
constexpr std::chrono::milliseconds kMost{25};

}  // namespace

void TimerDelay::OnFired(TimePoint due, TimePoint now) {
  Duration delay = std::clamp<Duration>(now - due, Duration::zero(), kMost);
  if (!has_samples_) {
    has_samples_ = true;
    mean_ = delay;
    deviation_ = delay / 2;
    return;
  }
  Duration error = delay > mean_ ? delay - mean_ : mean_ - delay;
  deviation_ += (error - deviation_) / kDeviationSamples;
  mean_ += (delay - mean_) / kMeanSamples;
}

Duration TimerDelay::allowance() const {
  if (!has_samples_) return kUnknown;
  return std::clamp<Duration>(mean_ + kDeviations * deviation_, kLeast, kMost);
}

}  // namespace damaskroute
