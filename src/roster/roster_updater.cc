#include "damaskroute/roster/roster_updater.h"

#include <algorithm>

#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {

bool RosterUpdater::HasWork(const ZoneName& zone, const ZoneWork& work) const {
  return !work.removals.empty() || (zone == options_.self.zone && !decided_);
}

void RosterUpdater::Start(const ZoneName& zone, Actions& actions) {
  ZoneWork& work = zones_[zone];
  if (work.busy || work.retry_at || !HasWork(zone, work)) return;
  work.busy = true;
  actions.push_back(ReadZoneSeats{zone});
}

void RosterUpdater::Arm(Actions& actions) {
  std::optional<TimePoint> next;
  for (const auto& [zone, work] : zones_) {
    if (work.retry_at && (!next || *work.retry_at < *next)) next = work.retry_at;
  }
  if (next) actions.push_back(SetRosterTimer{*next});
}

void RosterUpdater::RetryLater(ZoneWork& work, TimePoint now, Actions& actions) {
  work.busy = false;
  work.retry = std::clamp(work.retry * 2, options_.first_retry, options_.longest_retry);
  work.retry_at = now + work.retry;
  Arm(actions);
}

void RosterUpdater::Want(OwnSeat wanted, Actions& actions) {
  if (superseded_) return;
  wanted_ = wanted;
  decided_ = false;
  Start(options_.self.zone, actions);
}

RosterUpdater::Actions RosterUpdater::Join(TimePoint /*now*/) {
  Actions actions;
  Want(OwnSeat::kPresent, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::MarkLeaving(TimePoint /*now*/) {
  Actions actions;
  Want(OwnSeat::kLeaving, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::Leave(TimePoint /*now*/) {
  Actions actions;
  Want(OwnSeat::kAbsent, actions);
  return actions;
}

bool RosterUpdater::EditOwnSeat(std::vector<Seat>& seats) {
  auto it =
      std::lower_bound(seats.begin(), seats.end(), options_.self.node,
                       [](const Seat& seat, const NodeName& name) { return seat.node < name; });
  bool found = it != seats.end() && it->node == options_.self.node;
  if (found && it->incarnation > options_.self.incarnation) {
    superseded_ = true;
    return false;
  }
  bool own = found && it->incarnation == options_.self.incarnation;
  if (found && !own) renewed_ = true;
  if (wanted_ == OwnSeat::kAbsent) {
    if (own) seats.erase(it);
    return own;
  }
  Seat seat = options_.self;
  seat.leaving = wanted_ == OwnSeat::kLeaving;
  if (own && *it == seat) return false;
  // A seat that others removed is not added again by its leaving process.
  if (!found && seat.leaving) return false;
  if (found) {
    *it = seat;
  } else {
    seats.insert(it, seat);
  }
  return true;
}

void RosterUpdater::Finish(const ZoneName& zone, ZoneWork& work, Actions& actions) {
  work.busy = false;
  work.retry = {};
  work.removals.clear();
  if (zone != options_.self.zone || decided_) return;
  decided_ = true;
  SeatOutcome outcome = superseded_                   ? SeatOutcome::kSuperseded
                        : wanted_ == OwnSeat::kAbsent ? SeatOutcome::kRemoved
                        : renewed_                    ? SeatOutcome::kRenewed
                                                      : SeatOutcome::kAdded;
  if (wanted_ != OwnSeat::kLeaving || superseded_) actions.push_back(SeatDecided{outcome});
}

RosterUpdater::Actions RosterUpdater::OnRead(const ZoneName& zone,
                                             const absl::StatusOr<StoredSeats>& stored,
                                             TimePoint now) {
  Actions actions;
  ZoneWork& work = zones_[zone];
  if (!work.busy) return actions;
  absl::StatusOr<Roster> decoded = Roster{};
  if (stored.ok() && stored->version != 0) decoded = DecodeRoster(stored->value);
  if (!stored.ok() || !decoded.ok()) {
    RetryLater(work, now, actions);
    return actions;
  }
  std::vector<Seat>& seats = decoded->seats;
  bool changed = zone == options_.self.zone && !decided_ && EditOwnSeat(seats);
  std::size_t removed = std::erase_if(seats, [&](const Seat& seat) {
    return work.removals.contains({seat.node, seat.incarnation});
  });
  if (!changed && removed == 0) {
    Finish(zone, work, actions);
    return actions;
  }
  actions.push_back(SwapZoneSeats{zone, stored->version, EncodeRoster(*decoded)});
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnSwapped(const ZoneName& zone, SwapResult result,
                                                TimePoint now) {
  Actions actions;
  ZoneWork& work = zones_[zone];
  if (!work.busy) return actions;
  // Whatever the result, the next read says what is in force: the wish may have changed meanwhile,
  // a conflict is resolved against the new value, and a lost answer is found out.
  if (result == SwapResult::kDone) {
    work.retry = {};
    actions.push_back(ReadZoneSeats{zone});
  } else {
    RetryLater(work, now, actions);
  }
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnVmList(const std::set<NodeName>& vms, const Roster& roster,
                                               const std::set<NodeName>& dead, TimePoint now) {
  Actions actions;
  if (vms.empty()) return actions;
  std::map<NodeName, Missing> missing;
  for (const Seat& seat : roster.seats) {
    if (vms.contains(seat.node) || seat.node == options_.self.node) continue;
    auto known = missing_.find(seat.node);
    bool continues = known != missing_.end() && known->second.incarnation == seat.incarnation;
    Missing entry = continues ? known->second : Missing{seat.incarnation, now};
    missing.emplace(seat.node, entry);
    Duration age = now - entry.since;
    if (continues && age >= std::max(options_.observation_gap, options_.longest_call) &&
        dead.contains(seat.node)) {
      zones_[seat.zone].removals.insert({seat.node, seat.incarnation});
      Start(seat.zone, actions);
    }
  }
  missing_ = std::move(missing);
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnTimer(TimePoint now) {
  Actions actions;
  for (auto& [zone, work] : zones_) {
    if (!work.retry_at || *work.retry_at > now) continue;
    work.retry_at.reset();
    Start(zone, actions);
  }
  Arm(actions);
  return actions;
}

}  // namespace damaskroute
