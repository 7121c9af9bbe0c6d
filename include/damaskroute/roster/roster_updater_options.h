#ifndef DAMASKROUTE_ROSTER_ROSTER_UPDATER_OPTIONS_H_
#define DAMASKROUTE_ROSTER_ROSTER_UPDATER_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/time.h"
#include "damaskroute/roster/seat.h"

namespace damaskroute {

/// Constants of a `RosterUpdater`.
struct RosterUpdaterOptions {
  Seat self;
  std::uint64_t seed = 0;  ///< Of the random parts of all waits.

  /// A reader writes its own seat after one to two times this, as a node that was just started
  /// takes itself for a reader until it knows members.
  Duration join_delay = std::chrono::milliseconds(500);

  /// A reader waits up to this before it writes for others, so that mostly one of them writes.
  Duration reader_delay = std::chrono::milliseconds(300);

  /// A node that is no reader writes its seat itself if no reader has done so after
  /// `join_fallback` and a random part of `fallback_per_member` for each live member. At 7,600
  /// nodes that is about 100 writes/s, a fraction of what the store takes.
  Duration join_fallback = std::chrono::seconds(3);
  Duration fallback_per_member = std::chrono::milliseconds(10);

  /// A VM counts as gone after two lists without it that are this far apart, as the list lags.
  Duration observation_gap = std::chrono::seconds(5);

  /// A seat is removed so long after its VM was first missing from the list while its node was
  /// dead. `ShareTable` relies on the calls of a removed seat having ended.
  Duration longest_call = std::chrono::seconds(10);

  /// Wait after a conflict or a store error, four times as long after each further one, up to
  /// `longest_retry`; a random part of up to half is left out.
  Duration first_retry = std::chrono::milliseconds(800);
  Duration longest_retry = std::chrono::seconds(10);
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_UPDATER_OPTIONS_H_
