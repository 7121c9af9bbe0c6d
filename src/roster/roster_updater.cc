#include "damaskroute/roster/roster_updater.h"

#include <algorithm>

#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {
namespace {

// The record of earlier seats is rebuilt from the roster when it holds so many names more, because
// the names of replaced VMs may never return.
constexpr std::size_t kMaxFormerSeats = 1000;

// Conflicts mean that many nodes write. A first wait of 200 ms that doubles gave 377 writes in one
// second when 200 nodes that did not know of each other joined at once.
constexpr int kRetryGrowth = 4;

std::vector<Seat>::iterator Position(std::vector<Seat>& seats, const NodeName& node) {
  return std::lower_bound(seats.begin(), seats.end(), node,
                          [](const Seat& seat, const NodeName& name) { return seat.node < name; });
}

}  // namespace

Duration RosterUpdater::Below(Duration bound) {
  return Duration(random_.Below(static_cast<std::uint64_t>(bound.count())));
}

void RosterUpdater::Arm(Actions& actions) {
  std::optional<TimePoint> next;
  for (const auto& at : {join_at_, work_at_}) {
    if (at && (!next || *at < *next)) next = at;
  }
  if (retry_at_ && (!next || *next < *retry_at_)) next = retry_at_;
  if (next && !busy_) actions.push_back(SetRosterTimer{*next});
}

void RosterUpdater::Start(TimePoint now, Actions& actions) {
  if (busy_) return;
  if (retry_at_ && *retry_at_ > now) {
    Arm(actions);
    return;
  }
  retry_at_.reset();
  bool own = !decided_ && (!join_at_ || *join_at_ <= now);
  bool others = false;
  if (work_at_ && *work_at_ <= now) {
    work_at_.reset();
    // Another reader may have added them meanwhile.
    std::erase_if(additions_, [this](const auto& entry) {
      auto it = had_seat_.find(entry.first);
      return it != had_seat_.end() && it->second >= entry.second.incarnation;
    });
    others = !additions_.empty() || !removals_.empty();
  }
  if (!own && !others) {
    Arm(actions);
    return;
  }
  busy_ = true;
  actions.push_back(ReadRoster{});
}

void RosterUpdater::RetryLater(TimePoint now, Actions& actions) {
  busy_ = false;
  swapping_.reset();
  retry_ = std::clamp(retry_ * kRetryGrowth, options_.first_retry, options_.longest_retry);
  retry_at_ = now + retry_ - Below(retry_ / 2);
  // The work for others is tried again as well.
  if (!additions_.empty() || !removals_.empty()) work_at_ = retry_at_;
  Arm(actions);
}

void RosterUpdater::Want(OwnSeat wanted, TimePoint now, Actions& actions) {
  if (superseded_) return;
  wanted_ = wanted;
  decided_ = false;
  join_at_.reset();
  retry_at_.reset();
  retry_ = {};
  if (wanted == OwnSeat::kPresent && options_.join_delay > Duration::zero()) {
    join_at_ = now + options_.join_delay + Below(options_.join_delay);
  }
  if (wanted != OwnSeat::kPresent) additions_.clear();
  Start(now, actions);
}

RosterUpdater::Actions RosterUpdater::Join(TimePoint now) {
  Actions actions;
  Want(OwnSeat::kPresent, now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::MarkLeaving(TimePoint now) {
  Actions actions;
  Want(OwnSeat::kLeaving, now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::Leave(TimePoint now) {
  Actions actions;
  Want(OwnSeat::kAbsent, now, actions);
  return actions;
}

void RosterUpdater::Absorb(const Roster& roster) {
  known_revision_ = std::max(known_revision_, roster.revision);
  if (had_seat_.size() > 2 * roster.seats.size() + kMaxFormerSeats) had_seat_.clear();
  for (const Seat& seat : roster.seats) {
    Incarnation& had = had_seat_[seat.node];
    had = std::max(had, seat.incarnation);
  }
}

bool RosterUpdater::EditOwnSeat(std::vector<Seat>& seats) {
  auto it = Position(seats, options_.self.node);
  bool found = it != seats.end() && it->node == options_.self.node;
  if (found && it->incarnation > options_.self.incarnation) {
    superseded_ = true;
    return false;
  }
  bool own = found && it->incarnation == options_.self.incarnation;
  if (wanted_ == OwnSeat::kAbsent) {
    if (own) seats.erase(it);
    return own;
  }
  bool leaving = wanted_ == OwnSeat::kLeaving;
  if (own && it->leaving == leaving) return false;
  // A seat that others removed is not added again by its leaving process.
  if (!found && leaving) return false;
  Seat seat = options_.self;
  seat.leaving = leaving;
  if (found) {
    seat.renewed = !own || it->renewed;
    *it = seat;
  } else {
    seats.insert(it, seat);
  }
  return true;
}

bool RosterUpdater::AddMember(const Seat& member, std::vector<Seat>& seats) const {
  auto had = had_seat_.find(member.node);
  if (had != had_seat_.end() && had->second >= member.incarnation) return false;
  auto it = Position(seats, member.node);
  Seat seat = member;
  if (it != seats.end() && it->node == member.node) {
    seat.renewed = true;
    *it = seat;
  } else {
    seats.insert(it, seat);
  }
  return true;
}

bool RosterUpdater::Edit(std::vector<Seat>& seats) {
  bool changed = !decided_ && EditOwnSeat(seats);
  for (const auto& [node, member] : additions_) changed |= AddMember(member, seats);
  std::size_t removed = std::erase_if(seats, [&](const Seat& seat) {
    return removals_.contains({seat.node, seat.incarnation});
  });
  return changed || removed > 0;
}

void RosterUpdater::Decide(const Roster& roster, Actions& actions) {
  if (decided_) return;
  decided_ = true;
  join_at_.reset();
  const Seat* seat = roster.Find(options_.self.node);
  SeatOutcome outcome = superseded_                        ? SeatOutcome::kSuperseded
                        : wanted_ == OwnSeat::kAbsent      ? SeatOutcome::kRemoved
                        : wanted_ == OwnSeat::kLeaving     ? SeatOutcome::kLeaving
                        : seat != nullptr && seat->renewed ? SeatOutcome::kRenewed
                                                           : SeatOutcome::kAdded;
  actions.push_back(SeatDecided{outcome});
}

void RosterUpdater::Finish(const Roster& roster, Actions& actions) {
  busy_ = false;
  retry_ = {};
  removals_.clear();
  additions_.clear();
  Decide(roster, actions);
  Arm(actions);
}

RosterUpdater::Actions RosterUpdater::OnRead(const absl::StatusOr<StoredSeats>& stored,
                                             TimePoint now) {
  Actions actions;
  if (!busy_) return actions;
  absl::StatusOr<Roster> roster = Roster{};
  if (stored.ok() && stored->version != 0) roster = DecodeRoster(stored->value);
  if (!stored.ok() || !roster.ok()) {
    RetryLater(now, actions);
    return actions;
  }
  Absorb(*roster);
  if (!Edit(roster->seats)) {
    Finish(*roster, actions);
    return actions;
  }
  // Greater than all known revisions, in case the store was set back to an earlier state.
  roster->revision = known_revision_ + 1;
  swapping_ = *roster;
  actions.push_back(SwapRoster{stored->version, *std::move(roster)});
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnSwapped(SwapResult result, TimePoint now) {
  Actions actions;
  if (!busy_ || !swapping_) return actions;
  if (result != SwapResult::kDone) {
    // The next read resolves a conflict against the new value, and finds out a lost answer.
    RetryLater(now, actions);
    return actions;
  }
  Roster written = *std::exchange(swapping_, std::nullopt);
  Absorb(written);
  Roster wished = written;
  if (Edit(wished.seats)) {
    actions.push_back(ReadRoster{});  // The wish has changed during the swap.
  } else {
    Finish(written, actions);
  }
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnRoster(const Roster& roster, TimePoint /*now*/) {
  Actions actions;
  Absorb(roster);
  if (busy_ || decided_ || wanted_ != OwnSeat::kPresent) return actions;
  const Seat* seat = roster.Find(options_.self.node);
  if (seat == nullptr || seat->incarnation < options_.self.incarnation || seat->leaving) {
    return actions;
  }
  superseded_ = seat->incarnation > options_.self.incarnation;
  Decide(roster, actions);
  return actions;
}

void RosterUpdater::WorkForOthers(TimePoint now, Actions& actions) {
  if (work_at_ || busy_) return;
  work_at_ = now + Below(options_.reader_delay);
  Start(now, actions);
}

RosterUpdater::Actions RosterUpdater::OnMembers(bool is_reader, const std::vector<Seat>& live,
                                                TimePoint now) {
  Actions actions;
  if (wanted_ != OwnSeat::kPresent || superseded_) return actions;
  if (!decided_ && join_at_ && is_reader == waits_for_reader_) {
    waits_for_reader_ = !is_reader;
    join_at_ = is_reader ? now + Below(options_.reader_delay)
                         : now + options_.join_fallback +
                               Below(options_.fallback_per_member * static_cast<int>(live.size()));
    Arm(actions);
  }
  if (busy_) return actions;
  additions_.clear();
  if (!is_reader) return actions;
  for (const Seat& seat : live) {
    auto had = had_seat_.find(seat.node);
    bool lacks = had == had_seat_.end() || had->second < seat.incarnation;
    if (lacks && IsEncodable(seat)) additions_.emplace(seat.node, seat);
  }
  if (!additions_.empty()) WorkForOthers(now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnVmList(const std::set<NodeName>& vms, const Roster& roster,
                                               const std::set<NodeName>& dead, TimePoint now) {
  Actions actions;
  if (vms.empty()) return actions;
  std::map<NodeName, Missing> missing;
  for (const Seat& seat : roster.seats) {
    // Both must hold all the time: the list may lack a VM that runs, and membership may call a
    // node dead that is only cut off.
    bool gone = !vms.contains(seat.node) && dead.contains(seat.node);
    if (!gone || seat.node == options_.self.node) continue;
    auto known = missing_.find(seat.node);
    bool continues = known != missing_.end() && known->second.incarnation == seat.incarnation;
    Missing entry = continues ? known->second : Missing{seat.incarnation, now};
    missing.emplace(seat.node, entry);
    Duration age = now - entry.since;
    if (continues && age >= std::max(options_.observation_gap, options_.longest_call)) {
      removals_.insert({seat.node, seat.incarnation});
    }
  }
  missing_ = std::move(missing);
  // A node that returned since keeps its seat.
  std::erase_if(removals_,
                [this](const auto& removal) { return !missing_.contains(removal.first); });
  if (!removals_.empty()) WorkForOthers(now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnTimer(TimePoint now) {
  Actions actions;
  Start(now, actions);
  return actions;
}

}  // namespace damaskroute
