#include "damaskroute/store/lease_schedule.h"

#include "damaskroute/core/backoff.h"

namespace damaskroute {
namespace {

// A lease is renewed this many times within its TTL, so that two renewals may fail.
constexpr int kRenewalsPerTtl = 3;

// The key only serves to count nodes, so a failing store is called rarely.
constexpr std::chrono::milliseconds kInitialBackoff{500};
constexpr std::chrono::milliseconds kMaxBackoff{4000};

// Nodes write their keys again within this time after a restore.
constexpr std::chrono::milliseconds kRestoreSpread{1000};

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

void LeaseSchedule::OnOpened(std::uint64_t lease, std::chrono::milliseconds ttl) {
  lease_ = lease;
  ttl_ = ttl;
  written_ = false;
}

void LeaseSchedule::OnRenewed(TimePoint now) {
  written_ = true;
  failures_ = 0;
  pause_until_ = now + ttl_ / kRenewalsPerTtl;
}

void LeaseSchedule::OnEnded() {
  lease_ = 0;
  written_ = false;
}

void LeaseSchedule::OnStoreRestored(TimePoint now) {
  OnEnded();
  pause_until_ = now + Jittered(kRestoreSpread, random_);
}

void LeaseSchedule::OnFailure(TimePoint now) {
  pause_until_ =
      now + Jittered(ExponentialBackoff(kInitialBackoff, failures_++, kMaxBackoff), random_);
}

}  // namespace damaskroute
