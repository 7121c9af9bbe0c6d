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
#include "damaskroute/roster/stored_seats.h"

namespace damaskroute {

/// Result of a compare-and-swap.
enum class SwapResult : std::uint8_t {
  kDone,
  kConflict,
  kUnknown,  ///< No answer: the swap may have taken effect, now or later.
};

/// Decides which changes of the roster this node writes: its own seat and, while it is a reader,
/// the seats of live members that have none and the removal of seats whose VMs are gone. All
/// changes go into one read and swap at a time. A swap names the version it read, so one that is
/// delayed takes effect at most once, and never over a later change. Not thread-safe.
class RosterUpdater {
 public:
  using Actions = std::vector<RosterAction>;

  explicit RosterUpdater(RosterUpdaterOptions options)
      : options_(std::move(options)), random_(options_.seed) {}

  /// Asks for the own seat: by a write of this node, or of a reader. Answered by `SeatDecided`.
  Actions Join(TimePoint now);
  /// Marks the own seat as leaving, so that its shares move. Answered by `SeatDecided`.
  Actions MarkLeaving(TimePoint now);
  /// Removes the own seat. Only to be called once `ShareTable::Idle()`; a process that ends before
  /// leaves its seat to its successor, or to the removal after its VM is gone.
  Actions Leave(TimePoint now);

  Actions OnRead(const absl::StatusOr<StoredSeats>& stored, TimePoint now);
  Actions OnSwapped(SwapResult result, TimePoint now);

  /// A roster that this node learned from its peers or from a watch.
  Actions OnRoster(const Roster& roster, TimePoint now);

  /// The present live members as seats, without this node, and whether this node is a reader. To
  /// be called every some hundred milliseconds; `live` is used for a reader and while joining.
  Actions OnMembers(bool is_reader, const std::vector<Seat>& live, TimePoint now);

  /// A complete VM list (live and leaving VMs, by node name), the current roster, and the nodes of
  /// it that membership does not call live. To be called by reader nodes for each list. An empty
  /// list is taken for a fault of the platform.
  Actions OnVmList(const std::set<NodeName>& vms, const Roster& roster,
                   const std::set<NodeName>& dead, TimePoint now);

  Actions OnTimer(TimePoint now);

 private:
  enum class OwnSeat : std::uint8_t { kUnmanaged, kPresent, kLeaving, kAbsent };
  struct Missing {
    Incarnation incarnation = 0;
    TimePoint since;
  };

  void Start(TimePoint now, Actions& actions);
  void RetryLater(TimePoint now, Actions& actions);
  void Arm(Actions& actions);
  void Want(OwnSeat wanted, TimePoint now, Actions& actions);
  void WorkForOthers(TimePoint now, Actions& actions);
  void Absorb(const Roster& roster);
  bool Edit(std::vector<Seat>& seats);
  bool EditOwnSeat(std::vector<Seat>& seats);
  bool AddMember(const Seat& member, std::vector<Seat>& seats) const;
  void Finish(const Roster& roster, Actions& actions);
  void Decide(const Roster& roster, Actions& actions);
  Duration Below(Duration bound);

  RosterUpdaterOptions options_;
  Random random_;
  OwnSeat wanted_ = OwnSeat::kUnmanaged;
  bool decided_ = true;  // The wish has been fulfilled.
  bool superseded_ = false;
  bool waits_for_reader_ = false;
  bool busy_ = false;                 // A read or swap is open.
  std::optional<Roster> swapping_;    // The content of the open swap.
  std::optional<TimePoint> join_at_;  // This node writes its seat itself.
  std::optional<TimePoint> work_at_;  // Start of the work for others.
  std::optional<TimePoint> retry_at_;
  Duration retry_{};
  Revision known_revision_ = 0;
  std::map<NodeName, Seat> additions_;  // Live members that may lack a seat.
  std::set<std::pair<NodeName, Incarnation>> removals_;
  // Greatest incarnation that had a seat. A process that removed its seat is still a live member
  // for a moment and must not be added again.
  std::map<NodeName, Incarnation> had_seat_;
  std::map<NodeName, Missing> missing_;  // Dead nodes whose VM the lists do not contain.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROSTER_ROSTER_UPDATER_H_
