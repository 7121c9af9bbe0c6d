#ifndef DAMASKROUTE_ROSTER_ROSTER_ACTION_H_
#define DAMASKROUTE_ROSTER_ROSTER_ACTION_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/time.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Reads the roster key; answered by `RosterUpdater::OnRead`.
struct ReadRoster {};

/// Replaces the value if the key still has `version` (0: does not exist); answered by
/// `RosterUpdater::OnSwapped`.
struct SwapRoster {
  std::uint64_t version = 0;
  Roster roster;  ///< With the revision after the one that was read.
};

/// How the own seat came about.
enum class SeatOutcome : std::uint8_t {
  kAdded,       ///< There was no seat of this node.
  kRenewed,     ///< There was one: calls of a predecessor may run.
  kSuperseded,  ///< A later process has the seat; this one must end.
  kLeaving,     ///< The seat is marked as leaving, or was gone already.
  kRemoved,     ///< The seat was removed on request.
};

/// The wish about the own seat is fulfilled in the store.
struct SeatDecided {
  SeatOutcome outcome = SeatOutcome::kAdded;
};

/// `RosterUpdater::OnTimer` is due at `at`; replaces the timer.
struct SetRosterTimer {
  TimePoint at;
};

using RosterAction = std::variant<ReadRoster, SwapRoster, SeatDecided, SetRosterTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_ACTION_H_
