#include "damaskroute/store/lease_schedule.h"

#include "damaskroute/core/backoff.h"

namespace damaskroute {
namespace {

// A lease is renewed after this part of its life, so that two renewals may fail.
constexpr int kRenewalsPerLife = 3;

// The key only serves to count nodes, so a failing store is not asked often.
constexpr std::chrono::milliseconds kFirstPause{500};
constexpr std::chrono::milliseconds kLongestPause{4000};

}  // namespace

LeaseStep LeaseSchedule::Next(TimePoint now) const {
  LeaseStep step;
  step.lease = lease_;
  if (now < pause_until_) {
    step.until = pause_until_;
  } else if (lease_ == 0) {
    step.kind = LeaseStepKind::kOpen;
  } else {
    step.kind = written_ ? LeaseStepKind::kRenew : LeaseStepKind::kWrite;
  }
  return step;
}

void LeaseSchedule::OnOpened(std::uint64_t lease, std::chrono::milliseconds life) {
  lease_ = lease;
  life_ = life;
  written_ = false;
}

void LeaseSchedule::OnRenewed(TimePoint now) {
  written_ = true;
  failures_ = 0;
  pause_until_ = now + life_ / kRenewalsPerLife;
}

void LeaseSchedule::OnEnded() {
  lease_ = 0;
  written_ = false;
}

void LeaseSchedule::OnFailure(TimePoint now) {
  pause_until_ = now + Jittered(Doubled(kFirstPause, failures_++, kLongestPause), random_);
}

}  // namespace damaskroute
