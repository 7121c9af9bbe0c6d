#include "damaskroute/crashguard/connection_loss_tracker.h"

#include <chrono>

namespace damaskroute {
namespace {

// A coordinator may report a loss as late as at the end of its query, so the refutation is repeated
// for as long as most queries run. Deadlines are a few seconds.
constexpr int kMaxReports = 5;
constexpr std::chrono::milliseconds kReportPeriod{1000};

}  // namespace

void ConnectionLossTracker::OnLoss(BootId boot_id, TimePoint now) {
  lost_boot_ = boot_id;
  lost_at_ = now;
  next_report_ = now;
  reports_left_ = kMaxReports;
}

bool ConnectionLossTracker::OnAnswer(BootId boot_id, TimePoint started, TimePoint now) {
  if (lost_boot_ == 0 || boot_id != lost_boot_ || started < lost_at_ || now < next_report_) {
    return false;
  }
  next_report_ = now + kReportPeriod;
  if (--reports_left_ == 0) lost_boot_ = 0;
  return true;
}

}  // namespace damaskroute
