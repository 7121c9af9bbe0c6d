#ifndef DAMASKROUTE_SHARES_SHARE_TABLE_OPTIONS_H_
#define DAMASKROUTE_SHARES_SHARE_TABLE_OPTIONS_H_

#include <chrono>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Constants of a `ShareTable`.
struct ShareTableOptions {
  NodeName self;
  Incarnation incarnation = 0;
  TimePoint started;  ///< Start of this process.

  /// Whether an earlier process of this node may have had a seat when this one started; false
  /// only if its seat came where there was none (`SeatOutcome::kAdded`).
  bool had_predecessor = true;

  /// Calls of an earlier process of this node may run this long after the start of this one. The
  /// same on all nodes (`NodeSettings::longest_call`).
  Duration longest_call = std::chrono::seconds(10);

  /// Time that a release from the previous owner has before a claim asks all nodes. Most releases
  /// arrive within a call's duration (70 ms), and a claim costs a message to each node.
  Duration claim_delay = std::chrono::milliseconds(500);

  /// Unanswered messages are repeated after this time, doubled up to `longest_retry`.
  Duration first_retry = std::chrono::milliseconds(250);
  Duration longest_retry = std::chrono::seconds(8);
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_SHARE_TABLE_OPTIONS_H_
