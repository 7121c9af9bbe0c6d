#ifndef DAMASKROUTE_SHARES_SHARE_TABLE_OPTIONS_H_
#define DAMASKROUTE_SHARES_SHARE_TABLE_OPTIONS_H_

#include <chrono>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Options of a `ShareTable`.
struct ShareTableOptions {
  NodeName self;
  Incarnation incarnation = 0;
  TimePoint started;  ///< Start of this process.

  /// Whether an earlier process of this node may have been in the roster when this one started.
  /// False only if the roster had no entry of this node (`LocalEntryOutcome::kAdded`).
  bool had_predecessor = true;

  /// Calls of an earlier process of this node may still run for this long after the start of this
  /// process. Equal on all nodes (`NodeSettings::longest_call`).
  Duration longest_call = std::chrono::seconds(10);

  /// Time to wait for a release by the previous owner before claiming a share. Most releases arrive
  /// within the duration of a call (70 ms), and a claim costs a message to each node.
  Duration claim_delay = std::chrono::milliseconds(500);

  /// Unanswered messages are resent after this delay, which doubles up to `max_retry_delay`.
  Duration initial_retry_delay = std::chrono::milliseconds(250);
  Duration max_retry_delay = std::chrono::seconds(8);
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_TABLE_OPTIONS_H_
