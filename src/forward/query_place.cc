#include "damaskroute/forward/query_place.h"

namespace damaskroute {

bool QueryPlace::Take(OverloadLimit& limit, bool urgent, ForwardRun& run, TimePoint now) {
  if (!limit.TryStart(urgent)) return false;
  limit_ = &limit;
  if (limit.IsPressed(now)) run.ForbidCopies();
  return true;
}

void QueryPlace::OnProgress(const ForwardRun& run) {
  if (run.is_mostly_done()) Leave();
}

void QueryPlace::Leave() {
  if (limit_ == nullptr || left_) return;
  left_ = true;
  limit_->Leave();
}

void QueryPlace::Release(const ForwardRun& run, TimePoint now) {
  if (limit_ == nullptr) return;
  Leave();
  limit_->OnEnd(run.load_sign(), now);
  limit_ = nullptr;
}

}  // namespace damaskroute
