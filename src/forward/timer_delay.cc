#include "damaskroute/forward/timer_delay.h"

#include <algorithm>

namespace damaskroute {
namespace {

// Inverse weights of a new sample in the mean and the deviation, and the factor of the deviation
// (RFC 6298).
constexpr int kMeanWeightDivisor = 8;
constexpr int kDeviationWeightDivisor = 4;
constexpr int kDeviationFactor = 4;

// Allowance before the first sample, and its minimum: the scheduling delay of an idle machine is
// below 1 ms, and the answer still has to be written.
constexpr std::chrono::milliseconds kInitialAllowance{3};
constexpr std::chrono::milliseconds kMinAllowance{2};
// Larger delays come from a frozen process or machine and do not predict the next timer.
constexpr std::chrono::milliseconds kMaxAllowance{25};

}  // namespace

void TimerDelay::OnFired(TimePoint due, TimePoint now) {
  Duration delay = std::clamp<Duration>(now - due, Duration::zero(), kMaxAllowance);
  if (!has_samples_) {
    has_samples_ = true;
    mean_ = delay;
    deviation_ = delay / 2;
    return;
  }
  Duration error = delay > mean_ ? delay - mean_ : mean_ - delay;
  deviation_ += (error - deviation_) / kDeviationWeightDivisor;
  mean_ += (delay - mean_) / kMeanWeightDivisor;
}

Duration TimerDelay::allowance() const {
  if (!has_samples_) return kInitialAllowance;
  return std::clamp<Duration>(mean_ + kDeviationFactor * deviation_, kMinAllowance, kMaxAllowance);
}

}  // namespace damaskroute
