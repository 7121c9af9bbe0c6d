#include "damaskroute/forward/admission_ticket.h"

namespace damaskroute {

bool AdmissionTicket::TryAdmit(OverloadLimit& limit, bool urgent, ForwardRun& run, TimePoint now) {
  if (!limit.TryAcquire(urgent)) return false;
  limit_ = &limit;
  if (limit.IsOverloaded(now)) run.DisableHedging();
  return true;
}

void AdmissionTicket::OnProgress(const ForwardRun& run) {
  if (run.is_mostly_done()) ReleaseLimit();
}

void AdmissionTicket::ReleaseLimit() {
  if (limit_ == nullptr || released_) return;
  released_ = true;
  limit_->Release();
}

void AdmissionTicket::Release(const ForwardRun& run, TimePoint now) {
  if (limit_ == nullptr) return;
  ReleaseLimit();
  limit_->OnQueryEnded(run.load_signal(), now);
  limit_ = nullptr;
}

}  // namespace damaskroute
