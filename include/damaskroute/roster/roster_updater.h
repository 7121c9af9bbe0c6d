#ifndef DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_
#define DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/roster/roster.h"
#include "damaskroute/roster/roster_action.h"
#include "damaskroute/roster/stored_seats.h"

namespace damaskroute {

/// Constants of a `RosterUpdater`.
struct RosterUpdaterOptions {
  Seat self;  ///< A node name belongs to one zone.

  /// A VM counts as gone after two lists without it that are this far apart, as the list lags.
  Duration observation_gap = std::chrono::seconds(5);

  /// A seat is removed so long after the first list without its VM. `ShareTable` relies on the
  /// calls of a removed seat having ended.
  Duration longest_call = std::chrono::seconds(60);

  /// Wait after a conflict or a store error, doubled up to `longest_retry`.
  Duration first_retry = std::chrono::milliseconds(200);
  Duration longest_retry = std::chrono::seconds(10);
};

/// Result of a compare-and-swap.
enum class SwapResult : std::uint8_t {
  kDone,
  kConflict,
  kUnknown,  ///< No answer: the swap may have taken effect, now or later.
};

/// Decides which changes of the roster this node writes: its own seat, and the removal of seats
/// whose VMs are gone. One zone key is changed by one read and swap at a time. A swap names the
/// version it read, so one that is delayed takes effect at most once, and never over a later
/// change. Not thread-safe.
class RosterUpdater {
 public:
  using Actions = std::vector<RosterAction>;

  explicit RosterUpdater(RosterUpdaterOptions options) : options_(std::move(options)) {}

  /// Adds or renews the own seat. Answered by `SeatDecided`.
  Actions Join(TimePoint now);
  /// Marks the own seat as leaving, so that its shares move.
  Actions MarkLeaving(TimePoint now);
  /// Removes the own seat. Only to be called once `ShareTable::Idle()`; a process that ends before
  /// leaves its seat to its successor, or to the removal after its VM is gone.
  Actions Leave(TimePoint now);

  Actions OnRead(const ZoneName& zone, const absl::StatusOr<StoredSeats>& stored, TimePoint now);
  Actions OnSwapped(const ZoneName& zone, SwapResult result, TimePoint now);

  /// A complete VM list (live and leaving VMs, by node name), the current roster, and the nodes
  /// that membership calls dead. To be called by reader nodes for each list. An empty list is
  /// taken for a fault of the platform.
  Actions OnVmList(const std::set<NodeName>& vms, const Roster& roster,
                   const std::set<NodeName>& dead, TimePoint now);

  Actions OnTimer(TimePoint now);

 private:
  enum class OwnSeat : std::uint8_t { kUnmanaged, kPresent, kLeaving, kAbsent };
  struct Missing {
    Incarnation incarnation = 0;
    TimePoint since;
  };
  struct ZoneWork {
    bool busy = false;  // A read or swap is open.
    std::set<std::pair<NodeName, Incarnation>> removals;
    std::optional<TimePoint> retry_at;
    Duration retry{};
  };

  bool HasWork(const ZoneName& zone, const ZoneWork& work) const;
  void Start(const ZoneName& zone, Actions& actions);
  void RetryLater(ZoneWork& work, TimePoint now, Actions& actions);
  void Arm(Actions& actions);
  void Want(OwnSeat wanted, Actions& actions);
  bool EditOwnSeat(std::vector<Seat>& seats);
  void Finish(const ZoneName& zone, ZoneWork& work, Actions& actions);

  RosterUpdaterOptions options_;
  OwnSeat wanted_ = OwnSeat::kUnmanaged;
  bool decided_ = true;   // The wish has been fulfilled.
  bool renewed_ = false;  // A seat of another process was seen.
  bool superseded_ = false;
  std::map<ZoneName, ZoneWork> zones_;
  std::map<NodeName, Missing> missing_;  // Seats whose VM the lists do not contain.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_
