#ifndef DAMASKROUTE_ROLLOUT_ROLLOUT_WRITE_H_
#define DAMASKROUTE_ROLLOUT_ROLLOUT_WRITE_H_

#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/rollout/rollout_record.h"

namespace damaskroute {

/// A write of a rollout's record, which takes effect only if neither the record nor the order has
/// changed. The status for the operator is written with it, so both always agree.
struct RolloutWrite {
  ServiceName service;
  Revision expected_record = 0;  ///< Revision of the record; 0 if it does not exist.
  Revision expected_order = 0;   ///< The same for the order.
  RolloutRecord record;
  bool write_status = false;           ///< Whether the status changes.
  std::vector<NodeName> drop_reports;  ///< Nodes whose reports are deleted.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROLLOUT_ROLLOUT_WRITE_H_
