#include "damaskroute/shares/share_table.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace damaskroute {
namespace {

std::size_t IndexOf(ShareHalf half) { return static_cast<std::size_t>(half); }

std::string Text(const ShareEpoch& epoch) {
  return fmt::format("{}.{}.{}", epoch.roster, epoch.counter, epoch.node);
}

}  // namespace

ShareTable::BackendState& ShareTable::StateOf(const BackendName& backend) {
  auto [it, is_new] = states_.try_emplace(backend);
  if (is_new) {
    for (HalfState& half : it->second.halves) half.floor = half.highest = dropped_epoch_;
  }
  return it->second;
}

bool ShareTable::PredecessorCallsMayRun(TimePoint now) const {
  return options_.had_predecessor && now < options_.started + options_.longest_call;
}

ShareEpoch ShareTable::NextEpoch(const HalfState& half) const {
  return {std::max(half.highest.roster, roster_->revision), half.highest.counter + 1,
          options_.self};
}

void ShareTable::ScheduleTimer(TimePoint at, Actions& actions) {
  if (timer_ && *timer_ <= at) return;
  timer_ = at;
  actions.push_back(SetShareTimer{at});
}

ShareTable::Actions ShareTable::OnPlacement(std::shared_ptr<const Placement> placement,
                                            std::shared_ptr<const Roster> roster, TimePoint now) {
  Actions actions;
  if (removed_from_roster_) return actions;
  bool roster_changed = roster_ == nullptr || roster->revision != roster_->revision;
  if (placement_ != nullptr && (placement->config_revision() < placement_->config_revision() ||
                                roster->revision < roster_->revision)) {
    return actions;
  }
  placement_ = std::move(placement);
  roster_ = std::move(roster);
  const RosterEntry* entry = roster_->Find(options_.self);
  bool in_roster = entry != nullptr && entry->incarnation == options_.incarnation;
  if (active_ && !in_roster) {
    StopAfterRemoval(actions);
    return actions;
  }
  active_ = in_roster;
  if (!active_) return actions;
  for (const BackendName& backend : placement_->BackendsHeldBy(options_.self)) StateOf(backend);
  for (auto it = states_.begin(); it != states_.end();) {
    BackendState& state = it->second;
    for (HalfState& half : state.halves) {
      // The replies received so far do not cover nodes that joined in the meantime.
      if (roster_changed && half.claim) BackOffClaim(half, now, actions);
    }
    Reconcile(it->first, state, now, actions);
    bool removed = placement_->FindBackend(it->first) == nullptr;
    bool drained = state.limit == Share{} && state.confirmed == state.sequence;
    if (!removed || !drained) {
      ++it;
      continue;
    }
    for (const HalfState& half : state.halves) {
      dropped_epoch_ = std::max(dropped_epoch_, half.highest);
    }
    it = states_.erase(it);
  }
  return actions;
}

void ShareTable::StopAfterRemoval(Actions& actions) {
  active_ = false;
  removed_from_roster_ = true;
  for (auto& [backend, state] : states_) {
    if (state.limit != Share{}) {
      state.limit = {};
      actions.push_back(SetLimit{backend, {}, ++state.sequence});
    }
    state.halves = {};
  }
}

void ShareTable::Reconcile(const BackendName& backend, BackendState& state, TimePoint now,
                           Actions& actions) {
  std::optional<Holders> holders = placement_->HoldersOf(backend);
  std::array<bool, 2> owned{};
  std::array<bool, 2> used{};
  for (ShareHalf half : kShareHalves) {
    std::size_t i = IndexOf(half);
    owned[i] = holders && holders->OwnerOf(half) == options_.self;
    used[i] = owned[i] && state.halves[i].held;
  }
  Share limit;
  if (holders) limit = ShareOfHalves(*placement_->FindBackend(backend), used[0], used[1]);
  if (limit != state.limit) {
    state.limit = limit;
    actions.push_back(SetLimit{backend, limit, ++state.sequence});
  }
  for (ShareHalf which : kShareHalves) {
    HalfState& half = state.halves[IndexOf(which)];
    if (!owned[IndexOf(which)]) {
      half.claim.reset();
      half.claim_at.reset();
      half.claim_backoff = {};
      bool may_release = half.roster <= roster_->revision &&
                         half.config <= placement_->config_revision() &&
                         state.confirmed == state.sequence;
      if (half.held && holders && may_release) {
        Release({backend, which}, half, holders->OwnerOf(which), now, actions);
      }
    } else if (!half.held && !half.claim && !half.claim_at) {
      ScheduleClaim(half, options_.claim_delay, now, actions);
    }
    if (half.outgoing) {
      const RosterEntry* target = roster_->Find(half.outgoing->to);
      bool target_gone = target == nullptr || target->incarnation != half.outgoing->release.to;
      if (target_gone) half.outgoing.reset();
    }
  }
}

void ShareTable::Release(const ShareKey& share, HalfState& half, const NodeName& to, TimePoint now,
                         Actions& actions) {
  half.held = false;
  half.highest = half.floor = NextEpoch(half);
  ShareRelease release{share,
                       half.floor,
                       options_.incarnation,
                       roster_->Find(to)->incarnation,
                       placement_->config_revision(),
                       roster_->revision};
  half.outgoing =
      Outgoing{to, release, now + options_.initial_retry_delay, options_.initial_retry_delay};
  actions.push_back(SendShareMessage{to, release});
  ScheduleTimer(half.outgoing->due, actions);
}

void ShareTable::ScheduleClaim(HalfState& half, Duration delay, TimePoint now, Actions& actions) {
  TimePoint at = now + delay;
  if (options_.had_predecessor) at = std::max(at, options_.started + options_.longest_call);
  half.claim_at = at;
  ScheduleTimer(at, actions);
}

void ShareTable::BackOffClaim(HalfState& half, TimePoint now, Actions& actions) {
  half.claim.reset();
  half.claim_backoff =
      std::min(options_.max_retry_delay, std::max(options_.claim_delay, half.claim_backoff * 2));
  ScheduleClaim(half, half.claim_backoff, now, actions);
}

void ShareTable::StartClaim(const ShareKey& share, HalfState& half, TimePoint now,
                            Actions& actions) {
  half.claim_at.reset();
  if (half.highest.roster > roster_->revision) {
    // This node has replied to a claim of a node that may not be in this roster, and that node may
    // obtain the share without another message to this one.
    ScheduleClaim(half, options_.claim_delay, now, actions);
    return;
  }
  half.highest = NextEpoch(half);
  Claim claim;
  claim.epoch = half.highest;
  claim.promised.resize(roster_->node_entries.size());
  claim.missing_promises = roster_->node_entries.size() - 1;
  claim.retry_delay = options_.initial_retry_delay;
  half.claim = std::move(claim);
  SendClaims(share, half, now, actions);
  if (half.claim->missing_promises == 0) FinishClaim(share, half, now, actions);
}

void ShareTable::SendClaims(const ShareKey& share, HalfState& half, TimePoint now,
                            Actions& actions) {
  Claim& claim = *half.claim;
  for (std::size_t i = 0; i < roster_->node_entries.size(); ++i) {
    const NodeName& node = roster_->node_entries[i].node;
    if (claim.promised[i] || node == options_.self) continue;
    actions.push_back(SendShareMessage{node, ShareClaim{share, claim.epoch, options_.incarnation}});
  }
  claim.due = now + claim.retry_delay;
  claim.retry_delay = std::min(options_.max_retry_delay, claim.retry_delay * 2);
  ScheduleTimer(claim.due, actions);
}

void ShareTable::FinishClaim(const ShareKey& share, HalfState& half, TimePoint now,
                             Actions& actions) {
  half.floor = half.claim->epoch;
  half.claim.reset();
  half.claim_backoff = {};
  half.held = true;
  Reconcile(share.backend, StateOf(share.backend), now, actions);
}

ShareTable::Actions ShareTable::OnMessage(const NodeName& from, const ShareMessage& message,
                                          TimePoint now) {
  Actions actions;
  if (!active_) return actions;
  std::visit([&](const auto& content) { Handle(from, content, now, actions); }, message);
  return actions;
}

void ShareTable::Handle(const NodeName& from, const ShareRelease& release, TimePoint now,
                        Actions& actions) {
  if (release.to != options_.incarnation) return;
  BackendState& state = StateOf(release.share.backend);
  HalfState& half = state.halves[IndexOf(release.share.half)];
  if (release.epoch > half.floor) {
    half.floor = release.epoch;
    half.highest = std::max(half.highest, release.epoch);
    half.config = release.config;
    half.roster = release.roster;
    half.held = true;
    half.claim.reset();
    half.claim_at.reset();
    half.claim_backoff = {};
    Reconcile(release.share.backend, state, now, actions);
  }
  actions.push_back(
      SendShareMessage{from, ShareReleaseAck{release.share, release.epoch, release.from}});
}

void ShareTable::Handle(const NodeName& from, const ShareReleaseAck& ack, TimePoint /*now*/,
                        Actions& /*actions*/) {
  auto it = states_.find(ack.share.backend);
  if (ack.to != options_.incarnation || it == states_.end()) return;
  HalfState& half = it->second.halves[IndexOf(ack.share.half)];
  if (half.outgoing && half.outgoing->to == from && half.outgoing->release.epoch == ack.epoch) {
    half.outgoing.reset();
  }
}

void ShareTable::Handle(const NodeName& from, const ShareClaim& claim, TimePoint now,
                        Actions& actions) {
  // Running calls of an earlier process of this node may still use the share.
  if (PredecessorCallsMayRun(now)) return;
  BackendState& state = StateOf(claim.share.backend);
  HalfState& half = state.halves[IndexOf(claim.share.half)];
  ShareClaimReply reply{
      claim.share,       claim.epoch, options_.incarnation, claim.from, ClaimStatus::kOutdated,
      roster_->revision, {}};
  bool repeated = claim.epoch == half.floor && claim.epoch.node == from;
  if (half.held) {
    reply.claim_status = ClaimStatus::kHeld;
  } else if (claim.epoch > half.highest || repeated) {
    reply.claim_status = ClaimStatus::kPromised;
    half.floor = claim.epoch;
    half.highest = std::max(half.highest, claim.epoch);
    if (half.claim && !repeated) BackOffClaim(half, now, actions);
  }
  reply.highest = half.highest;
  actions.push_back(SendShareMessage{from, reply});
}

void ShareTable::Handle(const NodeName& from, const ShareClaimReply& reply, TimePoint now,
                        Actions& actions) {
  auto it = states_.find(reply.share.backend);
  if (reply.to != options_.incarnation || it == states_.end()) return;
  HalfState& half = it->second.halves[IndexOf(reply.share.half)];
  if (!half.claim || half.claim->epoch != reply.epoch) return;
  half.highest = std::max(half.highest, reply.highest);
  if (reply.claim_status != ClaimStatus::kPromised) {
    BackOffClaim(half, now, actions);
    return;
  }
  const RosterEntry* entry = roster_->Find(from);
  // A sender with a newer roster may have released the share to a node that this one does not know.
  if (entry == nullptr || entry->incarnation != reply.from || reply.roster > roster_->revision) {
    return;
  }
  auto position = static_cast<std::size_t>(entry - roster_->node_entries.data());
  if (half.claim->promised[position]) return;
  half.claim->promised[position] = true;
  if (--half.claim->missing_promises == 0) FinishClaim(reply.share, half, now, actions);
}

ShareTable::Actions ShareTable::OnWithinLimit(const BackendName& backend, std::uint64_t sequence,
                                              TimePoint now) {
  Actions actions;
  auto it = states_.find(backend);
  if (it == states_.end()) return actions;
  it->second.confirmed = std::max(it->second.confirmed, sequence);
  if (active_) Reconcile(backend, it->second, now, actions);
  return actions;
}

std::optional<TimePoint> ShareTable::NextDue(const HalfState& half) {
  std::optional<TimePoint> due = half.claim_at;
  if (half.claim && (!due || half.claim->due < *due)) due = half.claim->due;
  if (half.outgoing && (!due || half.outgoing->due < *due)) due = half.outgoing->due;
  return due;
}

void ShareTable::OnHalfTimer(const ShareKey& share, HalfState& half, TimePoint now,
                             Actions& actions) {
  if (half.outgoing && half.outgoing->due <= now) {
    Outgoing& outgoing = *half.outgoing;
    actions.push_back(SendShareMessage{outgoing.to, outgoing.release});
    outgoing.retry_delay = std::min(options_.max_retry_delay, outgoing.retry_delay * 2);
    outgoing.due = now + outgoing.retry_delay;
  }
  if (half.claim_at && *half.claim_at <= now) {
    StartClaim(share, half, now, actions);
  } else if (half.claim && half.claim->due <= now) {
    SendClaims(share, half, now, actions);
  }
}

ShareTable::Actions ShareTable::OnTimer(TimePoint now) {
  Actions actions;
  timer_.reset();
  if (!active_) return actions;
  std::optional<TimePoint> next;
  for (auto& [backend, state] : states_) {
    for (ShareHalf which : kShareHalves) {
      HalfState& half = state.halves[IndexOf(which)];
      OnHalfTimer({backend, which}, half, now, actions);
      std::optional<TimePoint> due = NextDue(half);
      if (due && (!next || *due < *next)) next = due;
    }
  }
  if (next) ScheduleTimer(*next, actions);
  return actions;
}

Share ShareTable::LimitOf(const BackendName& backend) const {
  auto it = states_.find(backend);
  return it == states_.end() ? Share{} : it->second.limit;
}

bool ShareTable::ReadyToLeave(TimePoint now) const {
  if (PredecessorCallsMayRun(now)) return false;
  return std::all_of(states_.begin(), states_.end(), [this](const auto& entry) {
    const BackendState& state = entry.second;
    // If no node is left to take the share, it expires with this process.
    bool has_next_owner = placement_->HoldersOf(entry.first).has_value();
    auto open = [has_next_owner](const HalfState& half) {
      return (half.held && has_next_owner) || half.outgoing || half.claim;
    };
    bool free = std::none_of(state.halves.begin(), state.halves.end(), open);
    return free && state.limit == Share{} && state.confirmed == state.sequence;
  });
}

std::string ShareTable::DebugString() const {
  std::string text = fmt::format("{}/{}{}{} {}", placement_ ? placement_->config_revision() : 0,
                                 roster_ ? roster_->revision : 0, active_ ? "" : " inactive",
                                 removed_from_roster_ ? " expelled" : "", Text(dropped_epoch_));
  for (const auto& [backend, state] : states_) {
    text += fmt::format(" {}[{} {} {}", backend, state.limit.slots,
                        state.limit.first ? "first" : "second",
                        state.confirmed == state.sequence ? "" : "over");
    for (const HalfState& half : state.halves) {
      text += fmt::format("; {} {} {} {}.{}", half.held ? "held" : "-", Text(half.floor),
                          Text(half.highest), half.config, half.roster);
      if (half.outgoing) {
        const ShareRelease& release = half.outgoing->release;
        text += fmt::format(" out {} {} {} {}.{}", half.outgoing->to, release.to,
                            Text(release.epoch), release.config, release.roster);
      }
      if (half.claim) {
        text += " claim " + Text(half.claim->epoch) + " ";
        for (bool promised : half.claim->promised) text += promised ? '1' : '0';
      }
      if (half.claim_at) text += " wait";
    }
    text += "]";
  }
  return text;
}

}  // namespace damaskroute
