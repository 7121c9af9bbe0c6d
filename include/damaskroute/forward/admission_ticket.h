#ifndef DAMASKROUTE_FORWARD_ADMISSION_TICKET_H_
#define DAMASKROUTE_FORWARD_ADMISSION_TICKET_H_

#include "damaskroute/core/time.h"
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/forward/overload_limit.h"

namespace damaskroute {

/// Admission of one query to the limit of its shards: acquired before the query starts, and
/// released once only its last parts are outstanding.
class AdmissionTicket {
 public:
  /// Admits `run`, which has not started. Returns false if the limit is reached. Disables hedging
  /// of the run during overload. `limit` outlives this object.
  bool TryAdmit(OverloadLimit& limit, bool urgent, ForwardRun& run, TimePoint now);

  /// Call after each end of a call of the run.
  void OnProgress(const ForwardRun& run);

  /// Call when the run has ended. Further calls have no effect.
  void Release(const ForwardRun& run, TimePoint now);

 private:
  void ReleaseLimit();

  OverloadLimit* limit_ = nullptr;  // Null once the run has ended.
  bool released_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_ADMISSION_TICKET_H_
