#include "damaskroute/roster/roster_updater.h"

#include <algorithm>

#include "damaskroute/roster/roster_codec.h"

namespace damaskroute {
namespace {

// `last_incarnations_` is rebuilt from the roster when it exceeds twice the size of the roster by
// more than this, because the names of replaced VMs may never return.
constexpr std::size_t kMaxFormerEntries = 1000;

// Conflicts mean that many nodes write at once, so the delay grows quickly: an initial delay of
// 200 ms that doubles led to 377 writes in one second when 200 nodes that did not know of each
// other joined at the same time.
constexpr int kRetryBackoffFactor = 4;

std::vector<RosterEntry>::iterator LowerBound(std::vector<RosterEntry>& entries,
                                              const NodeName& node) {
  return std::lower_bound(
      entries.begin(), entries.end(), node,
      [](const RosterEntry& entry, const NodeName& name) { return entry.node < name; });
}

}  // namespace

Duration RosterUpdater::RandomBelow(Duration bound) {
  return Duration(random_.Below(static_cast<std::uint64_t>(bound.count())));
}

void RosterUpdater::ArmTimer(Actions& actions) {
  std::optional<TimePoint> next;
  for (const auto& at : {join_at_, maintenance_at_}) {
    if (at && (!next || *at < *next)) next = at;
  }
  if (retry_at_ && (!next || *next < *retry_at_)) next = retry_at_;
  if (next && !call_pending_) actions.push_back(SetRosterTimer{*next});
}

void RosterUpdater::StartIfDue(TimePoint now, Actions& actions) {
  if (call_pending_) return;
  if (retry_at_ && *retry_at_ > now) {
    ArmTimer(actions);
    return;
  }
  retry_at_.reset();
  bool local_due = !local_target_reached_ && (!join_at_ || *join_at_ <= now);
  bool maintenance_due = false;
  if (maintenance_at_ && *maintenance_at_ <= now) {
    maintenance_at_.reset();
    // Another reader may have added some of the members in the meantime.
    std::erase_if(additions_, [this](const auto& addition) {
      auto it = last_incarnations_.find(addition.first);
      return it != last_incarnations_.end() && it->second >= addition.second.incarnation;
    });
    maintenance_due = !additions_.empty() || !removals_.empty();
  }
  if (!local_due && !maintenance_due) {
    ArmTimer(actions);
    return;
  }
  call_pending_ = true;
  actions.push_back(ReadRoster{});
}

void RosterUpdater::RetryLater(TimePoint now, Actions& actions) {
  call_pending_ = false;
  pending_swap_.reset();
  retry_delay_ = std::clamp(retry_delay_ * kRetryBackoffFactor, options_.initial_retry_delay,
                            options_.max_retry_delay);
  retry_at_ = now + retry_delay_ - RandomBelow(retry_delay_ / 2);
  // Changes on behalf of other nodes are retried together with the local one.
  if (!additions_.empty() || !removals_.empty()) maintenance_at_ = retry_at_;
  ArmTimer(actions);
}

void RosterUpdater::SetLocalTarget(LocalEntryTarget target, TimePoint now, Actions& actions) {
  if (superseded_) return;
  local_target_ = target;
  local_target_reached_ = false;
  join_at_.reset();
  retry_at_.reset();
  retry_delay_ = {};
  if (target == LocalEntryTarget::kPresent && options_.join_delay > Duration::zero()) {
    join_at_ = now + options_.join_delay + RandomBelow(options_.join_delay);
  }
  if (target != LocalEntryTarget::kPresent) additions_.clear();
  StartIfDue(now, actions);
}

RosterUpdater::Actions RosterUpdater::Join(TimePoint now) {
  Actions actions;
  SetLocalTarget(LocalEntryTarget::kPresent, now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::MarkLeaving(TimePoint now) {
  Actions actions;
  SetLocalTarget(LocalEntryTarget::kLeaving, now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::Leave(TimePoint now) {
  Actions actions;
  SetLocalTarget(LocalEntryTarget::kAbsent, now, actions);
  return actions;
}

void RosterUpdater::RecordEntries(const Roster& roster) {
  known_revision_ = std::max(known_revision_, roster.revision);
  if (last_incarnations_.size() > 2 * roster.node_entries.size() + kMaxFormerEntries) {
    last_incarnations_.clear();
  }
  for (const RosterEntry& entry : roster.node_entries) {
    Incarnation& last = last_incarnations_[entry.node];
    last = std::max(last, entry.incarnation);
  }
}

bool RosterUpdater::UpdateLocalEntry(std::vector<RosterEntry>& entries) {
  auto it = LowerBound(entries, options_.self.node);
  bool found = it != entries.end() && it->node == options_.self.node;
  if (found && it->incarnation > options_.self.incarnation) {
    superseded_ = true;
    return false;
  }
  bool same_process = found && it->incarnation == options_.self.incarnation;
  if (local_target_ == LocalEntryTarget::kAbsent) {
    if (same_process) entries.erase(it);
    return same_process;
  }
  bool leaving = local_target_ == LocalEntryTarget::kLeaving;
  if (same_process && it->leaving == leaving) return false;
  // A leaving process does not restore an entry that another node has removed.
  if (!found && leaving) return false;
  RosterEntry entry = options_.self;
  entry.leaving = leaving;
  if (found) {
    entry.had_predecessor = !same_process || it->had_predecessor;
    *it = entry;
  } else {
    entries.insert(it, entry);
  }
  return true;
}

bool RosterUpdater::AddLiveMember(const RosterEntry& member,
                                  std::vector<RosterEntry>& entries) const {
  auto last = last_incarnations_.find(member.node);
  if (last != last_incarnations_.end() && last->second >= member.incarnation) return false;
  auto it = LowerBound(entries, member.node);
  RosterEntry entry = member;
  if (it != entries.end() && it->node == member.node) {
    entry.had_predecessor = true;
    *it = entry;
  } else {
    entries.insert(it, entry);
  }
  return true;
}

bool RosterUpdater::ApplyChanges(std::vector<RosterEntry>& entries) {
  bool changed = !local_target_reached_ && UpdateLocalEntry(entries);
  for (const auto& [node, member] : additions_) changed |= AddLiveMember(member, entries);
  std::size_t removed = std::erase_if(entries, [&](const RosterEntry& entry) {
    return removals_.contains({entry.node, entry.incarnation});
  });
  return changed || removed > 0;
}

void RosterUpdater::ReportLocalOutcome(const Roster& roster, Actions& actions) {
  if (local_target_reached_) return;
  local_target_reached_ = true;
  join_at_.reset();
  const RosterEntry* entry = roster.Find(options_.self.node);
  LocalEntryOutcome outcome =
      superseded_                                   ? LocalEntryOutcome::kSuperseded
      : local_target_ == LocalEntryTarget::kAbsent  ? LocalEntryOutcome::kRemoved
      : local_target_ == LocalEntryTarget::kLeaving ? LocalEntryOutcome::kLeaving
      : entry != nullptr && entry->had_predecessor  ? LocalEntryOutcome::kReplaced
                                                    : LocalEntryOutcome::kAdded;
  actions.push_back(LocalEntryUpdated{outcome});
}

void RosterUpdater::Finish(const Roster& roster, Actions& actions) {
  call_pending_ = false;
  retry_delay_ = {};
  removals_.clear();
  additions_.clear();
  ReportLocalOutcome(roster, actions);
  ArmTimer(actions);
}

RosterUpdater::Actions RosterUpdater::OnRead(const absl::StatusOr<StoredRoster>& stored,
                                             TimePoint now) {
  Actions actions;
  if (!call_pending_) return actions;
  absl::StatusOr<Roster> roster = Roster{};
  if (stored.ok() && stored->version != 0) roster = DecodeRoster(stored->value);
  if (!stored.ok() || !roster.ok()) {
    RetryLater(now, actions);
    return actions;
  }
  RecordEntries(*roster);
  if (!ApplyChanges(roster->node_entries)) {
    Finish(*roster, actions);
    return actions;
  }
  // Greater than all known revisions, because the store may have been restored to an earlier state.
  roster->revision = known_revision_ + 1;
  pending_swap_ = *roster;
  actions.push_back(SwapRoster{stored->version, *std::move(roster)});
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnSwapped(SwapResult result, TimePoint now) {
  Actions actions;
  if (!call_pending_ || !pending_swap_) return actions;
  if (result != SwapResult::kDone) {
    // The next read merges the changes into the new value after a conflict, and shows whether the
    // swap took effect after a lost response.
    RetryLater(now, actions);
    return actions;
  }
  Roster written = *std::exchange(pending_swap_, std::nullopt);
  RecordEntries(written);
  Roster desired = written;
  if (ApplyChanges(desired.node_entries)) {
    actions.push_back(ReadRoster{});  // The requested changes differ since the swap began.
  } else {
    Finish(written, actions);
  }
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnRoster(const Roster& roster, TimePoint /*now*/) {
  Actions actions;
  RecordEntries(roster);
  if (call_pending_ || local_target_reached_ || local_target_ != LocalEntryTarget::kPresent) {
    return actions;
  }
  const RosterEntry* entry = roster.Find(options_.self.node);
  if (entry == nullptr || entry->incarnation < options_.self.incarnation || entry->leaving) {
    return actions;
  }
  superseded_ = entry->incarnation > options_.self.incarnation;
  ReportLocalOutcome(roster, actions);
  return actions;
}

void RosterUpdater::ScheduleMaintenance(TimePoint now, Actions& actions) {
  if (maintenance_at_ || call_pending_) return;
  maintenance_at_ = now + RandomBelow(options_.reader_delay);
  StartIfDue(now, actions);
}

RosterUpdater::Actions RosterUpdater::OnMembers(bool is_reader,
                                                const std::vector<RosterEntry>& live,
                                                TimePoint now) {
  Actions actions;
  if (local_target_ != LocalEntryTarget::kPresent || superseded_) return actions;
  if (!local_target_reached_ && join_at_ && is_reader == waits_for_reader_) {
    waits_for_reader_ = !is_reader;
    join_at_ = is_reader
                   ? now + RandomBelow(options_.reader_delay)
                   : now + options_.join_fallback +
                         RandomBelow(options_.fallback_per_member * static_cast<int>(live.size()));
    ArmTimer(actions);
  }
  if (call_pending_) return actions;
  additions_.clear();
  if (!is_reader) return actions;
  for (const RosterEntry& entry : live) {
    auto last = last_incarnations_.find(entry.node);
    bool lacks_entry = last == last_incarnations_.end() || last->second < entry.incarnation;
    if (lacks_entry && IsEncodable(entry)) additions_.emplace(entry.node, entry);
  }
  if (!additions_.empty()) ScheduleMaintenance(now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnVmList(const std::set<NodeName>& vms, const Roster& roster,
                                               const std::set<NodeName>& dead, TimePoint now) {
  Actions actions;
  if (vms.empty()) return actions;
  std::map<NodeName, MissingVm> missing;
  for (const RosterEntry& entry : roster.node_entries) {
    // Both conditions must hold without interruption: the list may lack a running VM, and
    // membership may report a node as dead that is only partitioned.
    bool gone = !vms.contains(entry.node) && dead.contains(entry.node);
    if (!gone || entry.node == options_.self.node) continue;
    auto known = missing_vms_.find(entry.node);
    bool continues = known != missing_vms_.end() && known->second.incarnation == entry.incarnation;
    MissingVm observation = continues ? known->second : MissingVm{entry.incarnation, now};
    missing.emplace(entry.node, observation);
    Duration age = now - observation.since;
    if (continues && age >= std::max(options_.observation_gap, options_.longest_call)) {
      removals_.insert({entry.node, entry.incarnation});
    }
  }
  missing_vms_ = std::move(missing);
  // A node that has returned in the meantime keeps its entry.
  std::erase_if(removals_,
                [this](const auto& removal) { return !missing_vms_.contains(removal.first); });
  if (!removals_.empty()) ScheduleMaintenance(now, actions);
  return actions;
}

RosterUpdater::Actions RosterUpdater::OnTimer(TimePoint now) {
  Actions actions;
  StartIfDue(now, actions);
  return actions;
}

}  // namespace damaskroute
