#include "damaskroute/rollout/rollout_decider.h"

#include <algorithm>

#include "damaskroute/core/hash.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Pause after a write that failed or was not answered.
constexpr milliseconds kRetryPause{300};

// Longest undisturbed time between two ticks.
constexpr milliseconds kMaxTickGap{1000};

// From a report to its effect at the holder, which follows the store eagerly.
constexpr milliseconds kConfirmDelay{1200};

// Part of the duration in which all calls go to the target version before the old servers are
// released, and its limit.
constexpr double kConfirmFraction = 0.05;
constexpr milliseconds kMaxConfirmTime{3000};

// Largest part of a short rollout that is left for the promotion.
constexpr double kMaxLeadFraction = 0.5;

// Nodes beyond this rank do not wait longer to take over: some of the first are alive.
constexpr int kMaxRank = 5;

constexpr std::size_t kMaxExcluded = 16;
constexpr std::size_t kMaxProcesses = 4;
constexpr std::uint64_t kResponsesPerCheck = 8;

// The smallest number of nodes by which limits are divided, as for `NodeCount`.
constexpr int kMinNodes = 4;

}  // namespace

RolloutDecider::RolloutDecider(ServiceName service, NodeName node, RolloutOptions options,
                               std::uint64_t seed)
    : service_(std::move(service)),
      node_(std::move(node)),
      options_(options),
      process_(seed >> 16) {}  // Exact as a double, as JSON readers may expect.

void RolloutDecider::OnOrder(const RolloutOrder& order, Revision revision, bool is_new,
                             TimePoint now) {
  order_key_ = revision;
  order_removed_ = false;
  if (order_ && order_->revision == revision && order_->order == order) return;
  TimePoint written_at = now - options_.notice_delay;
  order_.emplace(Order{order, revision, now, written_at, CanaryShare(0, 0, now, now)});
  own_ = {};
  stopped_ = false;
  last_tick_ = now;  // There are no ticks between rollouts.
  confirmed_store_at_ = std::max(confirmed_store_at_, written_at);
  report_written_ = promotion_reported_ = false;
  reported_state_ = RolloutState::kRunning;
  reported_open_ = 0;
  reported_changes_ = own_changes_ = 0;
  next_write_ = next_report_ = now;
  logged_no_target_ = false;
  // A process that has just started may have used its part of the slack before.
  double slack = is_new ? options_.canary_slack : 0;
  order_->share = CanaryShare(options_.canary_share, slack, now, std::max(now, PromoteAt()));
  order_->share.SetNodes(counted_, rank_);
  AddEvent("rollout ordered", is_new ? "new order" : "found at start", now);
  if (stored_ && IsOfOrder(stored_->record)) {
    LimitWrittenAt(stored_->record.age, stored_->seen_at);
    Follow(stored_->record, now);
  }
}

void RolloutDecider::OnOrderRemoved(TimePoint now) {
  order_key_ = 0;
  order_removed_ = true;
  if (!order_) return;
  if (!IsFinal(state()) && (HasTarget() || (known_ && IsOfOrder(*known_)))) {
    RolloutRecord record = MakeWrite(RolloutState::kWithdrawn, now).record;
    reason_ = "the order was removed";
    bool was_stored = stored_.has_value();
    Follow(record, now);
    known_was_stored_ = was_stored;
    rewrite_from_ = now;
  }
  order_.reset();
}

void RolloutDecider::OnRecord(const RolloutRecord& record, Revision revision, TimePoint now) {
  if (stored_ && revision <= stored_->revision) return;
  stored_ = {record, revision, now};
  if (IsOfOrder(record)) LimitWrittenAt(record.age, now);
  Follow(record, now);
  known_was_stored_ = true;
  if (!IsStoredBehind()) rewrite_from_ = now;
}

void RolloutDecider::OnRecordRemoved(Revision revision, TimePoint now) {
  if (!stored_ || revision < stored_->revision) return;
  stored_.reset();
  rewrite_from_ = now + options_.notice_delay;
}

void RolloutDecider::OnStoreRestored(TimePoint now) {
  stored_.reset();
  rewrite_from_ = now + options_.notice_delay;
}

// Follows the furthest state of an order: a store that was restored may hold an earlier one.
void RolloutDecider::Follow(const RolloutRecord& record, TimePoint now) {
  bool same =
      known_ && known_->order == record.order && known_->target_version == record.target_version;
  if (same && record.state < known_->state) return;
  if (!same && !IsOfOrder(record) && known_ &&
      (IsOfOrder(*known_) || known_->order > record.order)) {
    return;
  }
  bool changed = !same || known_->state != record.state;
  std::string reason = record.holder == node_ ? std::exchange(reason_, {})
                                              : fmt::format("decided by {}", record.holder);
  known_ = record;
  if (!changed) return;
  decided_at_ = now;
  confirmed_at_ = TimePoint::max();
  // Reports of many nodes are spread over time.
  auto spread = std::chrono::duration<double>(counted_ / options_.reports_per_second);
  next_report_ = now + std::chrono::duration_cast<Duration>(
                           spread * (static_cast<double>(process_ % 1024) / 1024));
  AddEvent(RolloutStateName(record.state), std::move(reason), now);
}

void RolloutDecider::OnReport(const NodeName& node, const RolloutReport& report, TimePoint now) {
  if (node == node_ && report.process == process_) return;
  auto& processes = reports_[node];
  std::erase_if(processes, [&](const auto& entry) { return entry.second.order != report.order; });
  if (processes.size() >= kMaxProcesses && !processes.contains(report.process)) {
    processes.erase(processes.begin());
  }
  processes.insert_or_assign(report.process, report);
  has_new_evidence_ = true;
  if (order_ && report.order == order_->revision) LimitWrittenAt(report.age, now);
}

// Another node may have seen the order earlier.
void RolloutDecider::LimitWrittenAt(milliseconds age, TimePoint now) {
  order_->written_at = std::min<TimePoint>(order_->written_at, now - age);
}

void RolloutDecider::SetNodes(std::set<NodeName> live, const std::vector<NodeName>& counted) {
  live_ = std::move(live);
  counted_ = std::max(static_cast<int>(counted.size()), kMinNodes);
  std::uint64_t own = RendezvousWeight(service_, node_);
  rank_ = static_cast<int>(std::count_if(counted.begin(), counted.end(), [&](const NodeName& node) {
    return RendezvousWeight(service_, node) > own;
  }));
  if (order_) order_->share.SetNodes(counted_, rank_);
}

void RolloutDecider::SetVersions(std::set<std::string> versions) {
  versions_ = std::move(versions);
  has_versions_ = true;
}

void RolloutDecider::OnTick(TimePoint now, Duration store_age) {
  confirmed_store_at_ = now - store_age;
  if (last_tick_ != TimePoint() && now - last_tick_ > kMaxTickGap) hold_since_ = now;
  last_tick_ = now;
  if (!std::exchange(has_new_evidence_, false)) return;
  if (IsActive() && live_.size() <= options_.reports_per_second) {
    CheckStop(Total(), now);
  }
}

bool RolloutDecider::IsHeld(TimePoint now) const {
  bool interrupted = last_tick_ != TimePoint() && now - last_tick_ > kMaxTickGap;
  return interrupted || confirmed_store_at_ < hold_since_;
}

// Others may have stored a final state in the meantime.
bool RolloutDecider::IsUnsure(TimePoint now) const {
  return IsHeld(now) || now - confirmed_store_at_ > options_.max_store_age;
}

RolloutState RolloutDecider::state() const {
  if (order_) {
    return known_ && IsOfOrder(*known_) ? known_->state : RolloutState::kRunning;
  }
  return known_ && IsFinal(known_->state) ? known_->state : RolloutState::kWithdrawn;
}

const std::string& RolloutDecider::target() const {
  static const auto* const none = new std::string();
  if (order_) return order_->order.target_version;
  return known_ ? known_->target_version : *none;
}

// Before all entries are known, there may be others.
bool RolloutDecider::HasOthers() const {
  return !has_versions_ ||
         std::any_of(versions_.begin(), versions_.end(), [this](const std::string& version) {
           return version != order_->order.target_version && AllowsOther(version);
         });
}

bool RolloutDecider::IsExcluded(const std::string& version) const {
  return known_ && std::find(known_->excluded.begin(), known_->excluded.end(), version) !=
                       known_->excluded.end();
}

// After a promotion, versions that nobody ordered are used only while the promoted one has no
// servers.
bool RolloutDecider::AllowsOther(const std::string& version) const {
  if (!known_) return true;
  if (IsExcluded(version)) return false;
  return !known_->promoted || *known_->promoted == version ||
         (has_versions_ && !versions_.contains(*known_->promoted));
}

bool RolloutDecider::AllowsCanary(TimePoint now) const {
  if (stopped_ || IsHeld(now)) return false;
  // A rollout that never began is not decided any more, and excludes no version.
  if (now >= order_->deadline()) return !(known_ && IsOfOrder(*known_)) && !HasOthers();
  return order_->share.Allows(now) || !HasOthers();
}

bool RolloutDecider::Allows(const std::string& version, TimePoint now) const {
  if (!order_ || IsFinal(state())) {
    // The order is unusable since before this process started: others follow the promotion.
    bool promoting = known_ && !order_ && !order_removed_ &&
                     known_->state == RolloutState::kPromoting &&
                     (!has_versions_ || versions_.contains(known_->target_version));
    if (promoting) return version == known_->target_version;
    bool withdrawn = known_ && !order_ && !IsFinal(known_->state);
    return AllowsOther(version) && !(withdrawn && version == known_->target_version);
  }
  bool is_target = version == order_->order.target_version;
  switch (SeenState()) {
    case RolloutState::kRunning:
      return is_target ? AllowsCanary(now) : AllowsOther(version);
    case RolloutState::kPromoting:
      // An unsure node cannot tell which versions still have servers; `PreferenceFor` orders them.
      return is_target || (IsUnsure(now) && AllowsOther(version));
    default:
      return !is_target && AllowsOther(version);
  }
}

VersionPreference RolloutDecider::PreferenceFor(bool repeated, TimePoint now) const {
  if (!order_) return {};
  RolloutState seen = SeenState();
  if (seen == RolloutState::kPromoting && IsUnsure(now)) {
    return {&order_->order.target_version, /*avoid=*/HasOthers()};
  }
  if (seen != RolloutState::kRunning) return {};
  bool canary = !repeated && order_->share.Allows(now) && AllowsCanary(now);
  return {&order_->order.target_version, /*avoid=*/!canary};
}

void RolloutDecider::OnSent(const std::string& version) {
  if (order_) order_->share.OnSent(version == order_->order.target_version);
}

void RolloutDecider::OnResponse(const std::string& version, const std::string& route, bool failed,
                                Duration latency, TimePoint now) {
  if (!IsActive()) return;
  bool is_target = version == order_->order.target_version;
  int slot = state() == RolloutState::kRunning
                 ? RolloutEvidence::SlotAt(now - order_->written_at, order_->order.duration)
                 : RolloutEvidence::kPromotedSlot;
  own_.Add(route, slot, is_target, failed, latency);
  ++own_changes_;
  if (is_target && (failed || own_changes_ % kResponsesPerCheck == 0)) CheckStop(own_, now);
}

void RolloutDecider::CheckStop(const RolloutEvidence& evidence, TimePoint now) {
  if (stopped_) return;
  auto verdict = RolloutVerdict::Judge(evidence, RolloutVerdict::kEarlyScore);
  if (verdict.judgement != Judgement::kRollBack) return;
  stopped_ = true;
  AddEvent("calls to the version stopped", verdict.reason, now, /*warning=*/true);
}

RolloutEvidence RolloutDecider::Total() const {
  RolloutEvidence sum = own_;
  if (!order_) return sum;
  for (const auto& [node, processes] : reports_) {
    for (const auto& [process, report] : processes) {
      if (report.order == order_->revision) sum.Merge(report.evidence);
    }
  }
  return sum;
}

milliseconds RolloutDecider::AgeAt(TimePoint now) const {
  if (!order_) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(now - order_->written_at);
}

Duration RolloutDecider::ConfirmTime() const {
  auto part = std::chrono::duration_cast<milliseconds>(order_->order.duration * kConfirmFraction);
  return std::clamp(part, options_.confirm_time, std::max(kMaxConfirmTime, options_.confirm_time));
}

// Leaves time until all nodes have seen the decision and have confirmed it, for a time under full
// load, and for the last write.
TimePoint RolloutDecider::PromoteAt() const {
  auto reports = std::chrono::duration<double>(counted_ / options_.reports_per_second);
  Duration lead = options_.notice_delay + kConfirmDelay + ConfirmTime() + options_.end_margin +
                  std::chrono::duration_cast<Duration>(reports);
  Duration longest =
      std::chrono::duration_cast<Duration>(order_->order.duration * kMaxLeadFraction);
  return order_->deadline() - std::min(lead, longest);
}

Duration RolloutDecider::RankDelay() const {
  return std::min(rank_, kMaxRank) * options_.rank_delay;
}

bool RolloutDecider::IsStoredBehind() const {
  if (!known_ || !known_was_stored_) return false;
  if (order_ && !IsOfOrder(*known_)) return false;  // A new order replaces the record anyway.
  if (!stored_) return true;
  const RolloutRecord& record = stored_->record;
  return record.order == known_->order ? record.state < known_->state
                                       : record.order < known_->order;
}

std::optional<RolloutWrite> RolloutDecider::NextWrite(TimePoint now) {
  if (!has_versions_ || now < next_write_) return std::nullopt;
  if (IsStoredBehind()) {
    if (now < rewrite_from_ + RankDelay()) return std::nullopt;
    return RewriteKnown();
  }
  if (!order_) return std::nullopt;
  if (!stored_ || !IsOfOrder(stored_->record)) {
    if (!HasTarget()) {
      if (!std::exchange(logged_no_target_, true)) {
        AddEvent("rollout waits", "no server has the ordered version", now, /*warning=*/true);
      }
      return std::nullopt;
    }
    if (now < order_->seen_at + RankDelay() || now >= order_->deadline()) return std::nullopt;
    // The other versions are excluded already: a rollback would leave no version.
    if (known_ && known_->promoted == order_->order.target_version) {
      reason_ = "the version is promoted already";
      return MakeWrite(RolloutState::kSucceeded, now);
    }
    reason_ = "begun";
    return MakeWrite(RolloutState::kRunning, now);
  }
  const RolloutRecord& record = stored_->record;
  if (IsFinal(record.state)) return std::nullopt;
  if (record.holder == node_) return NextAsHolder(now);
  if (now < stored_->seen_at + options_.TakeoverDelay() + RankDelay()) return std::nullopt;
  return MakeWrite(record.state, now);
}

std::optional<RolloutWrite> RolloutDecider::NextAsHolder(TimePoint now) {
  RolloutState next = NextState(now);
  if (next == state() && now < last_written_ + options_.heartbeat) return std::nullopt;
  return MakeWrite(next, now);
}

RolloutState RolloutDecider::NextState(TimePoint now) {
  RolloutState current = state();
  if (current == RolloutState::kRunning) return NextStateWhileRunning(now);
  if (current == RolloutState::kPromoting) {
    if (!HasTarget()) return RollBack("no server has the ordered version any more");
    auto verdict = RolloutVerdict::Judge(Total(), RolloutVerdict::kEarlyScore);
    if (verdict.judgement == Judgement::kRollBack) return RollBack(verdict.reason);
  }
  bool confirmed = AllConfirmed(current);
  confirmed_at_ = confirmed ? std::min(confirmed_at_, now) : TimePoint::max();
  bool must_end = now >= order_->deadline() - options_.end_margin;
  if (current == RolloutState::kPromoting) {
    bool released = confirmed && now >= confirmed_at_ + ConfirmTime();
    if (!released && !must_end) return current;
    auto last = RolloutVerdict::Judge(Total(), RolloutVerdict::kConfirmScore);
    if (last.judgement == Judgement::kRollBack) return RollBack(last.reason);
    reason_ = confirmed ? "all nodes have no calls at the old versions"
                        : "the deadline is near, not all nodes have confirmed";
    return RolloutState::kSucceeded;
  }
  Duration longest = options_.notice_delay + kConfirmDelay;
  if (!confirmed && !must_end && now < decided_at_ + longest) return current;
  reason_ = confirmed ? "all nodes have stopped" : "not all nodes have confirmed";
  return RolloutState::kRolledBack;
}

RolloutState RolloutDecider::RollBack(std::string reason) {
  reason_ = std::move(reason);
  return RolloutState::kRollingBack;
}

RolloutState RolloutDecider::NextStateWhileRunning(TimePoint now) {
  RolloutEvidence evidence = Total();
  auto early = RolloutVerdict::Judge(evidence, RolloutVerdict::kEarlyScore);
  if (early.judgement == Judgement::kRollBack) return RollBack(early.reason);
  if (now < PromoteAt()) return RolloutState::kRunning;
  if (now >= order_->deadline() - options_.end_margin) return RollBack("no time left to promote");
  if (now - confirmed_store_at_ > options_.max_store_age) return RolloutState::kRunning;
  if (!HasTarget()) return RollBack("no server has the ordered version any more");
  auto last = RolloutVerdict::Judge(evidence, RolloutVerdict::kLastScore);
  if (last.judgement == Judgement::kPromote) {
    reason_ = last.reason;
    return RolloutState::kPromoting;
  }
  if (last.too_little && !HasOthers()) {
    reason_ = "too little evidence, but no other version has servers";
    return RolloutState::kPromoting;
  }
  return RollBack(last.reason);
}

// A node without a key in the store does not serve.
bool RolloutDecider::AllConfirmed(RolloutState state) const {
  if (state == RolloutState::kPromoting && (stopped_ || open_calls_ > 0)) return false;
  return std::all_of(live_.begin(), live_.end(), [&](const NodeName& node) {
    if (node == node_) return true;
    auto found = reports_.find(node);
    if (found == reports_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& entry) {
      const RolloutReport& report = entry.second;
      return report.order == order_->revision && report.seen >= state && report.open_calls == 0;
    });
  });
}

void RolloutDecider::Exclude(RolloutRecord& record, const std::string& version) {
  std::erase(record.excluded, version);
  if (record.excluded.size() >= kMaxExcluded) record.excluded.erase(record.excluded.begin());
  record.excluded.push_back(version);
}

RolloutWrite RolloutDecider::MakeWrite(RolloutState state, TimePoint now) const {
  RolloutWrite write;
  write.service = service_;
  write.expected_record = stored_ ? stored_->revision : 0;
  write.expected_order = order_key_;
  RolloutRecord& record = write.record;
  if (known_) {
    record.promoted = known_->promoted;
    record.excluded = known_->excluded;
  }
  const std::string& target = order_->order.target_version;
  record.order = order_->revision;
  record.target_version = target;
  record.state = state;
  record.age = AgeAt(now);
  record.holder = node_;
  std::erase(record.excluded, target);
  if (state == RolloutState::kSucceeded) {
    if (record.promoted && *record.promoted != target) Exclude(record, *record.promoted);
    for (const std::string& version : versions_) {
      if (version != target) Exclude(record, version);
    }
    record.promoted = target;
  } else if (state != RolloutState::kRunning && state != RolloutState::kPromoting) {
    if (record.promoted == target) record.promoted.reset();
    Exclude(record, target);
  }
  bool begins = !stored_ || !IsOfOrder(stored_->record);
  write.write_status = begins || IsFinal(state);
  for (const auto& [node, processes] : reports_) {
    bool old = std::all_of(processes.begin(), processes.end(), [&](const auto& entry) {
      return entry.second.order != order_->revision;
    });
    if ((begins && old) || (IsFinal(state) && !live_.contains(node))) {
      write.drop_reports.push_back(node);
    }
  }
  return write;
}

RolloutWrite RolloutDecider::RewriteKnown() const {
  RolloutWrite write;
  write.service = service_;
  write.expected_record = stored_ ? stored_->revision : 0;
  write.expected_order = order_key_;
  write.record = *known_;
  write.record.holder = node_;
  write.write_status = true;
  return write;
}

void RolloutDecider::OnWritten(const RolloutWrite& write, Revision revision, TimePoint now) {
  last_written_ = now;
  for (const NodeName& node : write.drop_reports) reports_.erase(node);
  OnRecord(write.record, revision, now);
}

void RolloutDecider::OnWriteFailed(TimePoint now) { next_write_ = now + kRetryPause; }

RolloutState RolloutDecider::SeenState() const {
  RolloutState current = state();
  bool refuses = stopped_ && !promotion_reported_;
  return refuses && current == RolloutState::kPromoting ? RolloutState::kRunning : current;
}

Duration RolloutDecider::ReportInterval() const {
  auto shared = std::chrono::duration<double>(counted_ / options_.reports_per_second);
  bool running = state() == RolloutState::kRunning;
  return std::max<Duration>(running ? options_.report_interval : options_.decided_report_interval,
                            std::chrono::duration_cast<Duration>(shared));
}

std::optional<RolloutReport> RolloutDecider::NextReport(TimePoint now) {
  if (!IsActive() || !known_ || !IsOfOrder(*known_)) return std::nullopt;
  RolloutState seen = SeenState();
  std::int64_t open = seen == RolloutState::kPromoting ? open_calls_ : 0;
  bool closed = reported_open_ > 0 && open == 0 && seen == reported_state_;
  if (now < next_report_ && !closed) return std::nullopt;
  bool changed =
      own_changes_ != reported_changes_ || seen != reported_state_ || open != reported_open_;
  if (!changed) return std::nullopt;
  if (seen == RolloutState::kPromoting) promotion_reported_ = true;
  return RolloutReport{order_->revision, process_, AgeAt(now), seen, open, own_};
}

void RolloutDecider::OnReportWritten(const RolloutReport& report, TimePoint now) {
  if (!order_ || report.order != order_->revision) return;
  report_written_ = true;
  // Responses that arrived while the call was in progress are reported next time.
  std::uint64_t responses =
      report.evidence.Total(true).responses + std::uint64_t{report.evidence.Total(false).responses};
  reported_changes_ = responses;
  reported_state_ = report.seen;
  reported_open_ = report.open_calls;
  next_report_ = std::max<TimePoint>(next_report_, now + ReportInterval());
  if (reported_state_ != SeenState()) next_report_ = now;
}

void RolloutDecider::AddEvent(const char* message, std::string reason, TimePoint now,
                              bool warning) {
  events_.push_back({message, std::move(reason), target(), AgeAt(now),
                     RolloutVerdict::Judge(Total(), RolloutVerdict::kEarlyScore), warning});
}

}  // namespace damaskroute
