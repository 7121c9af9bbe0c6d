#ifndef DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_
#define DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/random.h"
#include "damaskroute/roster/roster.h"
#include "damaskroute/roster/roster_action.h"
#include "damaskroute/roster/roster_updater_options.h"
#include "damaskroute/roster/stored_roster.h"

namespace damaskroute {

/// Result of a compare-and-swap.
enum class SwapResult : std::uint8_t {
  kDone,
  kConflict,
  kUnknown,  ///< No response: the swap may have taken effect, or may do so later.
};

/// Decides which changes of the roster this node writes: its local entry and, while it is a reader,
/// entries for live members that have none and the removal of entries whose VMs no longer exist.
/// Writes all pending changes with one read and one compare-and-swap at a time. A swap carries the
/// version that was read, so a delayed swap takes effect at most once and never overwrites a later
/// change. Not thread-safe.
class RosterUpdater {
 public:
  using Actions = std::vector<RosterAction>;

  explicit RosterUpdater(RosterUpdaterOptions options)
      : options_(std::move(options)), random_(options_.seed) {}

  /// Requests the local entry, which this node or a reader writes. Completes with
  /// `LocalEntryUpdated`.
  Actions Join(TimePoint now);
  /// Marks the local entry as leaving, so that its shares move to other nodes. Completes with
  /// `LocalEntryUpdated`.
  Actions MarkLeaving(TimePoint now);
  /// Removes the local entry. Must be called only once `ShareTable::ReadyToLeave()` holds. A
  /// process that exits earlier leaves its entry to its successor, or to the removal after its VM
  /// is gone.
  Actions Leave(TimePoint now);

  /// Handles the result of a `ReadRoster`.
  Actions OnRead(const absl::StatusOr<StoredRoster>& stored, TimePoint now);
  /// Handles the result of a `SwapRoster`.
  Actions OnSwapped(SwapResult result, TimePoint now);

  /// Handles a roster that this node received from a peer or from a watch of the store.
  Actions OnRoster(const Roster& roster, TimePoint now);

  /// Handles the current live members, given as roster entries without this node, and whether this
  /// node is a reader. Must be called every few hundred milliseconds. `live` is used only on a
  /// reader and while joining.
  Actions OnMembers(bool is_reader, const std::vector<RosterEntry>& live, TimePoint now);

  /// Handles a complete list of VMs (live and leaving ones, by node name). `roster` is the current
  /// roster and `dead` are those of its nodes that are not live members. Readers must call it for
  /// each list. An empty list is ignored as a fault of the platform.
  Actions OnVmList(const std::set<NodeName>& vms, const Roster& roster,
                   const std::set<NodeName>& dead, TimePoint now);

  /// Must be called at the time of the last `SetRosterTimer`.
  Actions OnTimer(TimePoint now);

 private:
  // Requested state of the local entry.
  enum class LocalEntryTarget : std::uint8_t { kUnmanaged, kPresent, kLeaving, kAbsent };
  // Dead node whose VM is missing from the lists since the given time.
  struct MissingVm {
    Incarnation incarnation = 0;
    TimePoint since;
  };

  void StartIfDue(TimePoint now, Actions& actions);
  void RetryLater(TimePoint now, Actions& actions);
  void ArmTimer(Actions& actions);
  void SetLocalTarget(LocalEntryTarget target, TimePoint now, Actions& actions);
  void ScheduleMaintenance(TimePoint now, Actions& actions);
  void RecordEntries(const Roster& roster);
  bool ApplyChanges(std::vector<RosterEntry>& entries);
  bool UpdateLocalEntry(std::vector<RosterEntry>& entries);
  bool AddLiveMember(const RosterEntry& member, std::vector<RosterEntry>& entries) const;
  void Finish(const Roster& roster, Actions& actions);
  void ReportLocalOutcome(const Roster& roster, Actions& actions);
  Duration RandomBelow(Duration bound);

  RosterUpdaterOptions options_;
  Random random_;
  LocalEntryTarget local_target_ = LocalEntryTarget::kUnmanaged;
  bool local_target_reached_ = true;  // The last request for the local entry has completed.
  bool superseded_ = false;
  bool waits_for_reader_ = false;
  bool call_pending_ = false;                // A read or swap is in progress.
  std::optional<Roster> pending_swap_;       // Content of the swap in progress.
  std::optional<TimePoint> join_at_;         // When this node writes its entry itself.
  std::optional<TimePoint> maintenance_at_;  // When this node writes for other nodes.
  std::optional<TimePoint> retry_at_;
  Duration retry_delay_{};
  Revision known_revision_ = 0;
  std::map<NodeName, RosterEntry> additions_;  // Live members that may lack an entry.
  std::set<std::pair<NodeName, Incarnation>> removals_;
  // Greatest incarnation of each node that had an entry. A process that has removed its entry stays
  // a live member for a moment and must not be added again.
  std::map<NodeName, Incarnation> last_incarnations_;
  std::map<NodeName, MissingVm> missing_vms_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_
