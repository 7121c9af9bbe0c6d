#include "damaskroute/crashguard/crash_archive.h"

#include <algorithm>

#include "damaskroute/core/backoff.h"

namespace damaskroute {

void CrashArchive::OnStored(std::uint64_t request) {
  stored_.insert(request);
  failures_ = 0;
}

void CrashArchive::OnFailure(TimePoint now) {
  auto delay = ExponentialBackoff(kRetryDelay, failures_++, kMaxRetryDelay);
  retry_at_ = now + Jittered(delay, random_);
}

CrashArchive::Step CrashArchive::Next(const std::vector<BlockedRequest>& blocked, TimePoint now) {
  Step step;
  // With as many, further requests may be blocked.
  if (blocked.size() < kMaxRecords) {
    std::erase_if(stored_, [&](std::uint64_t stored) {
      return std::none_of(blocked.begin(), blocked.end(), [stored](const BlockedRequest& request) {
        return request.record.request == stored;
      });
    });
  }
  auto missing =
      std::find_if(blocked.begin(), blocked.end(), [this](const BlockedRequest& request) {
        return request.lost_here && !stored_.contains(request.record.request);
      });
  if (missing == blocked.end()) return step;
  if (now < retry_at_) {
    step.next = retry_at_;
  } else {
    step.write = missing->record;
  }
  return step;
}

}  // namespace damaskroute
