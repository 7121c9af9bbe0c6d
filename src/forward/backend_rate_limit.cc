#include "damaskroute/forward/backend_rate_limit.h"

#include <algorithm>

namespace damaskroute {

bool BackendRateLimit::OnStated(double rate, TimePoint now) {
  stated_at_ = now;
  bool begins = !rate_;
  rate_ = rate;
  if (begins) next_report_ = now + kWindow;
  return begins;
}

bool BackendRateLimit::OnNotStated(TimePoint sent) {
  if (!rate_ || sent < stated_at_) return false;
  rate_.reset();
  recent_.clear();
  return true;
}

void BackendRateLimit::OnSent(TimePoint now) {
  if (!rate_) return;
  while (!recent_.empty() && recent_.front() + kWindow <= now) recent_.pop_front();
  recent_.push_back(now);
}

bool BackendRateLimit::IsReportDue(TimePoint now) {
  if (now < next_report_) return false;
  next_report_ = now + kWindow;
  return true;
}

std::size_t BackendRateLimit::CallsInWindow(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      recent_.begin(), recent_.end(), [now](TimePoint sent) { return sent + kWindow > now; }));
}

}  // namespace damaskroute
