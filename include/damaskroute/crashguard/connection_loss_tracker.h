#ifndef DAMASKROUTE_CRASHGUARD_CONNECTION_LOSS_TRACKER_H_
#define DAMASKROUTE_CRASHGUARD_CONNECTION_LOSS_TRACKER_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Determines whether a backend server survived the loss of a connection during a call. A crash
/// ends the process, so an answer to a later call by the same incarnation proves that only the
/// connection was lost. One per backend server and holder; not thread-safe, used by the holder's
/// event loop.
class ConnectionLossTracker {
 public:
  /// A connection was lost during a call to the incarnation `boot_id`.
  void OnLoss(BootId boot_id, TimePoint now);

  /// The incarnation `boot_id` answered a call that began at `started`. Returns true if the node
  /// should report to the coordinators that this incarnation survived its last connection loss.
  bool OnAnswer(BootId boot_id, TimePoint started, TimePoint now);

 private:
  BootId lost_boot_ = 0;  // 0: no unresolved loss.
  TimePoint lost_at_;
  TimePoint next_report_;
  int reports_left_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CONNECTION_LOSS_TRACKER_H_
