#include "damaskroute/crashguard/loss_witness.h"

#include <chrono>

namespace damaskroute {
namespace {

// A coordinator reports a loss only when its query has ended, so a refutation is repeated for as
// long as most queries last: deadlines are a few seconds.
constexpr int kReports = 5;
constexpr std::chrono::milliseconds kReportPeriod{1000};

}  // namespace

void LossWitness::OnLoss(BootId boot_id, TimePoint now) {
  lost_boot_ = boot_id;
  lost_at_ = now;
  next_report_ = now;
  reports_left_ = kReports;
}

bool LossWitness::OnAnswer(BootId boot_id, TimePoint started, TimePoint now) {
  if (lost_boot_ == 0 || boot_id != lost_boot_ || started < lost_at_ || now < next_report_) {
    return false;
  }
  next_report_ = now + kReportPeriod;
  if (--reports_left_ == 0) lost_boot_ = 0;
  return true;
}

}  // namespace damaskroute
