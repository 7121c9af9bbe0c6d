#ifndef DAMASKROUTE_ROSTER_ROSTER_ACTION_H_
#define DAMASKROUTE_ROSTER_ROSTER_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Reads the roster key of a zone; answered by `RosterUpdater::OnRead`.
struct ReadZoneSeats {
  ZoneName zone;
};

/// Replaces the value if the key still has `version` (0: does not exist); answered by
/// `RosterUpdater::OnSwapped`.
struct SwapZoneSeats {
  ZoneName zone;
  std::uint64_t version = 0;
  std::string value;
};

/// How the own seat came about.
enum class SeatOutcome : std::uint8_t {
  kAdded,       ///< There was no seat of this node.
  kRenewed,     ///< There was one, or there may have been: calls of a predecessor may run.
  kSuperseded,  ///< A later process has the seat; this one must end.
  kRemoved,     ///< The seat was removed on request.
};

/// The own seat is in the store, or is gone from it.
struct SeatDecided {
  SeatOutcome outcome = SeatOutcome::kAdded;
};

/// `RosterUpdater::OnTimer` is due at `at`; replaces the timer.
struct SetRosterTimer {
  TimePoint at;
};

using RosterAction = std::variant<ReadZoneSeats, SwapZoneSeats, SeatDecided, SetRosterTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_ACTION_H_
