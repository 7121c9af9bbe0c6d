#ifndef DAMASKROUTE_ROSTER_ROSTER_UPDATER_OPTIONS_H_
#define DAMASKROUTE_ROSTER_ROSTER_UPDATER_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/time.h"
#include "damaskroute/roster/roster_entry.h"

namespace damaskroute {

/// Delays and limits of a `RosterUpdater`.
struct RosterUpdaterOptions {
  RosterEntry self;        ///< Entry that this process requests.
  std::uint64_t seed = 0;  ///< Seed of the random jitter of all delays.

  /// A reader writes its local entry after one to two times this delay, because a node that has
  /// just started takes itself for a reader until it knows other members.
  Duration join_delay = std::chrono::milliseconds(500);

  /// Upper bound of the random delay before a reader writes on behalf of other nodes. The delay
  /// lets one reader write first in most cases.
  Duration reader_delay = std::chrono::milliseconds(300);

  /// A node that is not a reader writes its entry itself if no reader has done so within
  /// `join_fallback` plus a random part of `fallback_per_member` for each live member. With 7,600
  /// nodes that amounts to about 100 writes/s, a fraction of what the store accepts.
  Duration join_fallback = std::chrono::seconds(3);
  Duration fallback_per_member = std::chrono::milliseconds(10);

  /// A VM counts as removed after two lists without it that are at least this far apart, because
  /// the list lags behind.
  Duration observation_gap = std::chrono::seconds(5);

  /// Upper bound of the duration of a call. An entry is removed this long after its VM was first
  /// missing from the list while its node was dead, because `ShareTable` relies on the calls of a
  /// removed node having ended.
  Duration longest_call = std::chrono::seconds(10);

  /// Delay after a conflict or a store error. Each further failure multiplies it by four, up to
  /// `max_retry_delay`. Jitter shortens each delay by up to a half.
  Duration initial_retry_delay = std::chrono::milliseconds(800);
  Duration max_retry_delay = std::chrono::seconds(10);
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_UPDATER_OPTIONS_H_
