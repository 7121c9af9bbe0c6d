#ifndef DAMASKROUTE_ROSTER_ROSTER_ACTION_H_
#define DAMASKROUTE_ROSTER_ROSTER_ACTION_H_

#include <cstdint>
#include <variant>

#include "damaskroute/core/time.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Read the roster key and pass the result to `RosterUpdater::OnRead`.
struct ReadRoster {};

/// Compare-and-swap: replace the value if the key still has `version` (0: the key does not exist),
/// and pass the result to `RosterUpdater::OnSwapped`.
struct SwapRoster {
  std::uint64_t version = 0;
  Roster roster;  ///< Its revision is greater than all that this node knows.
};

/// Result of a requested change of the local roster entry, that is, the one of this node.
enum class LocalEntryOutcome : std::uint8_t {
  kAdded,       ///< This node had no entry.
  kReplaced,    ///< Replaced the entry of an earlier process, whose calls may still run.
  kSuperseded,  ///< The entry belongs to a later process; this one must exit.
  kLeaving,     ///< The entry is marked as leaving, or did not exist any more.
  kRemoved,     ///< The entry was removed on request.
};

/// The stored roster reflects the last requested change of the local entry.
struct LocalEntryUpdated {
  LocalEntryOutcome outcome = LocalEntryOutcome::kAdded;
};

/// Call `RosterUpdater::OnTimer` at `at`. Replaces the previous timer.
struct SetRosterTimer {
  TimePoint at;
};

using RosterAction = std::variant<ReadRoster, SwapRoster, LocalEntryUpdated, SetRosterTimer>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_ACTION_H_
