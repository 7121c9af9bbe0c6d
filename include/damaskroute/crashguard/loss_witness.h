#ifndef DAMASKROUTE_CRASHGUARD_LOSS_WITNESS_H_
#define DAMASKROUTE_CRASHGUARD_LOSS_WITNESS_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Finds out whether one backend server outlived the loss of a connection during a call. A crash
/// ends the process, so an answer of the same start to a later call shows that only the connection
/// was lost. One per backend server and holder; belongs to the holder's event loop.
class LossWitness {
 public:
  /// A connection was lost during a call to the start `boot_id`.
  void OnLoss(BootId boot_id, TimePoint now);

  /// The start `boot_id` answered a call that began at `started`. Returns true if the node should
  /// tell the coordinators that this start outlived its last loss.
  bool OnAnswer(BootId boot_id, TimePoint started, TimePoint now);

 private:
  BootId lost_boot_ = 0;  // 0: no loss is in doubt.
  TimePoint lost_at_;
  TimePoint next_report_;
  int reports_left_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_LOSS_WITNESS_H_
