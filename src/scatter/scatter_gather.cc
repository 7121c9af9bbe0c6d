#include "damaskroute/scatter/scatter_gather.h"

#include <algorithm>
#include <utility>

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Attempts for one part, including hedges.
constexpr std::uint16_t kMaxAttempts = 4;
constexpr std::uint32_t kMaxRestarts = 2;
constexpr std::uint32_t kMaxCanaries = 3;

// Time reserved for merging and for the network delay to the caller, which is 1 ms in current
// deployments: a twentieth of the time left, between 2 and 10 ms, but at most half of it.
Duration FinishMargin(Duration time_left) {
  Duration margin = std::clamp<Duration>(time_left / 20, milliseconds(2), milliseconds(10));
  return std::max<Duration>(std::min<Duration>(margin, time_left / 2), Duration::zero());
}

// Outcomes that cost the backend server nothing. A retry elsewhere adds no load, so it takes no
// token.
bool IsFreeRetry(ShardOutcome outcome) {
  return outcome == ShardOutcome::kNoShare || outcome == ShardOutcome::kVersionGone ||
         outcome == ShardOutcome::kConnectFailed;
}

}  // namespace

/// Collects the effects of one event before they are converted to actions.
struct ScatterGather::Pending {
  std::vector<ScatterAction> reports;
  std::vector<SendCalls> sends;
  std::vector<std::int32_t> send_of_holder;  // Position in `sends` by HolderShare::node_index.
  std::vector<CancelSentCalls> cancels;
};

ScatterGather::ScatterGather(QuerySpec spec, std::shared_ptr<const ServiceView> view,
                             ScatterPolicies policies)
    : spec_(std::move(spec)), policies_(policies) {
  views_.push_back(std::move(view));
}

ScatterGather::~ScatterGather() { ReleasePolicies(); }

std::vector<ScatterAction> ScatterGather::Start(TimePoint now) {
  Pending pending;
  finish_at_ = spec_.deadline - FinishMargin(spec_.deadline - now);
  counted_in_policies_ = true;
  std::optional<IndexVersion> version = ChooseVersion(*views_.back());
  if (version.has_value() && now < finish_at_) {
    version_ = *version;
    map_ = views_.back()->Find(version_);
    calls_.reserve(map_->segments.size() + map_->segments.size() / 8);
    parts_.reserve(map_->segments.size());
    canary_pending_ = spec_.canary;
    SendFirstCalls(CallKind::kFirst, now, pending);
  }
  return FinishEvent(now, pending);
}

std::vector<ScatterAction> ScatterGather::OnReply(const ShardReply& reply, TimePoint now) {
  if (finished_) return {};
  Pending pending;
  std::optional<std::uint32_t> call_id = MatchOpenCall(reply);
  if (!call_id.has_value()) {
    // The holder confirms cancellations; such replies are not stale.
    if (reply.outcome != ShardOutcome::kCancelled) ++result_.stale_replies;
    return {};
  }
  if (reply.outcome == ShardOutcome::kRows) {
    OnRows(*call_id, reply, now, pending);
  } else {
    ReplicaSelector::OnOutcome(calls_[*call_id].target, reply.outcome, now);
    if (reply.outcome == ShardOutcome::kConnectionLost) {
      ++lost_connections_;
      if (!has_rows_) held_reports_.push_back({reply.backend, reply.boot_id});
      if (lost_connections_ > calls_.size() / 2) EmitHeldReports(pending);
    }
    OnFailure(*call_id, reply.outcome, now, pending);
  }
  return FinishEvent(now, pending);
}

std::vector<ScatterAction> ScatterGather::OnHolderLost(const NodeName& holder, TimePoint now) {
  if (finished_) return {};
  Pending pending;
  lost_holders_.push_back(holder);
  for (std::uint32_t id = 0; id < calls_.size(); ++id) {
    if (!calls_[id].open || calls_[id].target.holder->node != holder) continue;
    ReplicaSelector::OnHolderLost(calls_[id].target, now);
    calls_[id].only_holder_failed = true;
    OnFailure(id, ShardOutcome::kTimedOut, now, pending);
  }
  return FinishEvent(now, pending);
}

std::vector<ScatterAction> ScatterGather::OnTimer(TimePoint now) {
  if (finished_) return {};
  Pending pending;
  if (now < finish_at_) Hedge(now, pending);
  timer_at_ = TimePoint::max();
  return FinishEvent(now, pending);
}

std::vector<ScatterAction> ScatterGather::OnViewChanged(std::shared_ptr<const ServiceView> view,
                                                        TimePoint now) {
  if (finished_) return {};
  Pending pending;
  views_.push_back(std::move(view));
  map_ = views_.back()->Find(version_);
  lost_holders_.clear();
  ResumeParts(PartState::kWaitingView, now, pending);
  return FinishEvent(now, pending);
}

std::vector<ScatterAction> ScatterGather::Abandon(TimePoint now) {
  if (finished_) return {};
  Pending pending;
  for (std::uint32_t id = 0; id < calls_.size(); ++id) {
    if (calls_[id].open) CancelCall(id, /*record=*/false, now, pending);
  }
  finished_ = true;
  ReleasePolicies();
  EmitHeldReports(pending);
  std::vector<ScatterAction> actions = std::move(pending.reports);
  for (CancelSentCalls& cancel : pending.cancels) actions.emplace_back(std::move(cancel));
  return actions;
}

void ScatterGather::SendFirstCalls(CallKind kind, TimePoint now, Pending& pending) {
  if (canary_pending_) {
    ++canaries_;
    SendCallsFor(ChooseCanary().range, kind, -1, 0, now, pending);
    return;
  }
  SendCallsFor(kWholeKeySpace, kind, -1, 0, now, pending);
}

// Chooses a random segment among those with the most replicas, so that a series of crashing
// requests does not take down the last replica of a shard while other shards have more.
const Segment& ScatterGather::ChooseCanary() {
  const Segment* best = nullptr;
  std::uint64_t equals = 0;
  for (const Segment& segment : map_->segments) {
    if (best != nullptr && segment.replicas.size() < best->replicas.size()) continue;
    equals = best == nullptr || segment.replicas.size() > best->replicas.size() ? 1 : equals + 1;
    if (policies_.random.Below(equals) == 0) best = &segment;
  }
  return *best;
}

void ScatterGather::SendCallsFor(const KeyRange& range, CallKind kind, std::int32_t history,
                                 std::uint16_t attempts, TimePoint now, Pending& pending) {
  if (map_ == nullptr) return;
  std::uint32_t first_calls = 0;
  const Segment* end = map_->segments.data() + map_->segments.size();
  for (const Segment* segment = map_->FirstEndingAfter(range.low);
       segment != nullptr && segment != end && segment->range.low < range.high; ++segment) {
    auto index = static_cast<std::uint32_t>(parts_.size());
    parts_.push_back(
        {.range = Intersect(range, segment->range), .attempts = attempts, .last_call = history});
    if (SendPartCall(index, *segment, kind, now, pending)) {
      ++active_parts_;
      if (kind == CallKind::kFirst) ++first_calls;
    } else {
      parts_[index].state = PartState::kFailed;
    }
  }
  if (first_calls == 0) return;
  result_.first_calls += first_calls;
  policies_.hedge.OnStart(first_calls);
  policies_.retries.OnFirstCalls(first_calls);
}

bool ScatterGather::SendPartCall(std::uint32_t part_index, const Segment& segment, CallKind kind,
                                 TimePoint now, Pending& pending) {
  Part& part = parts_[part_index];
  if (part.attempts >= kMaxAttempts) return false;
  CollectExclusions(part);
  const ServiceView& view = *views_.back();
  std::optional<ReplicaChoice> choice =
      policies_.selector.Choose(view, segment, excluded_, now, policies_.random);
  if (!choice.has_value() && kind == CallKind::kHedge && part.attempts == part.open_calls) {
    // All replicas were tried and none has failed, so a hedge of a late hedge may go to any replica
    // except that of the latest call.
    excluded_.resize(excluded_.size() - part.attempts + 1);
    choice = policies_.selector.Choose(view, segment, excluded_, now, policies_.random);
  }
  if (!choice.has_value()) return false;
  ReplicaSelector::OnSent(*choice);
  auto call_id = static_cast<std::uint32_t>(calls_.size());
  calls_.push_back({.target = *choice,
                    .part = part_index,
                    .attempt = part.attempts,
                    .previous = part.last_call,
                    .sent = now});
  if (pending.send_of_holder.empty()) pending.send_of_holder.assign(view.holders.size(), -1);
  std::int32_t& send = pending.send_of_holder[choice->holder->node_index];
  if (send < 0) {
    send = static_cast<std::int32_t>(pending.sends.size());
    pending.sends.push_back(
        {.holder = choice->holder->node,
         .version = version_,
         .time_left = std::chrono::duration_cast<microseconds>(finish_at_ - now),
         .calls = {}});
  }
  pending.sends[send].calls.push_back({.call_id = call_id,
                                       .attempt = part.attempts,
                                       .backend = choice->replica->backend,
                                       .range = part.range});
  ++part.attempts;
  ++part.open_calls;
  ++open_calls_;
  part.last_call = static_cast<std::int32_t>(call_id);
  if (kind == CallKind::kHedge) ++result_.hedges;
  if (kind == CallKind::kRetry) ++result_.retries;
  std::optional<Duration> late_after =
      kind == CallKind::kFirst ? policies_.hedge.LateAfter() : policies_.hedge.HedgeLateAfter();
  part.next_hedge = late_after.has_value() ? now + *late_after : TimePoint::max();
  return true;
}

std::optional<std::uint32_t> ScatterGather::MatchOpenCall(const ShardReply& reply) const {
  if (reply.query_id != spec_.query_id || reply.call_id >= calls_.size()) return std::nullopt;
  const Call& call = calls_[reply.call_id];
  if (!call.open || call.attempt != reply.attempt ||
      call.target.replica->backend != reply.backend) {
    return std::nullopt;
  }
  if (reply.outcome == ShardOutcome::kRows && (reply.version != version_ || reply.range.IsEmpty() ||
                                               !parts_[call.part].range.Contains(reply.range))) {
    return std::nullopt;
  }
  return reply.call_id;
}

void ScatterGather::CloseCall(std::uint32_t call_id) {
  calls_[call_id].open = false;
  --parts_[calls_[call_id].part].open_calls;
  --open_calls_;
}

void ScatterGather::OnRows(std::uint32_t call_id, const ShardReply& reply, TimePoint now,
                           Pending& pending) {
  const Call& call = calls_[call_id];
  ReplicaSelector::OnOutcome(call.target, ShardOutcome::kRows, now);
  RecordLatency(call, now);
  CloseCall(call_id);
  Part& part = parts_[call.part];
  if (part.open_calls > 0) {
    for (std::int32_t id = part.last_call; id >= 0; id = calls_[id].previous) {
      if (calls_[id].open && calls_[id].part == call.part) {
        CancelCall(static_cast<std::uint32_t>(id), /*record=*/true, now, pending);
      }
    }
  }
  part.state = PartState::kDone;
  --active_parts_;
  accepted_ranges_.push_back(reply.range);
  if (!reply.rows.empty()) result_.rows.push_back(reply.rows);
  bool first_rows = !has_rows_;
  held_reports_.clear();
  has_rows_ = true;
  const Part answered = part;  // SendCallsFor adds parts and invalidates references.
  for (const KeyRange& rest : {KeyRange{answered.range.low, reply.range.low},
                               KeyRange{reply.range.high, answered.range.high}}) {
    if (!rest.IsEmpty()) {
      SendCallsFor(rest, CallKind::kRetry, answered.last_call, answered.attempts, now, pending);
    }
  }
  if (canary_pending_) {
    canary_pending_ = false;
    SendRemainingCalls(now, pending);
  }
  if (first_rows && lost_connections_ > 0) ResumeParts(PartState::kWaitingRows, now, pending);
}

KeyRangeSet ScatterGather::CoveredRanges() {
  // In ascending order each range merges with the previous one, so the set stays small.
  std::sort(accepted_ranges_.begin(), accepted_ranges_.end(),
            [](const KeyRange& a, const KeyRange& b) { return a.low < b.low; });
  KeyRangeSet covered;
  for (const KeyRange& range : accepted_ranges_) covered.Add(range);
  return covered;
}

void ScatterGather::SendRemainingCalls(TimePoint now, Pending& pending) {
  KeyRangeSet requested = CoveredRanges();
  for (const Part& part : parts_) {
    if (part.state != PartState::kDone) requested.Add(part.range);
  }
  for (const KeyRange& range : requested.MissingFrom(kWholeKeySpace)) {
    SendCallsFor(range, CallKind::kFirst, -1, 0, now, pending);
  }
}

void ScatterGather::OnFailure(std::uint32_t call_id, ShardOutcome outcome, TimePoint now,
                              Pending& pending) {
  Call& call = calls_[call_id];
  CloseCall(call_id);
  if (VerdictOf(outcome) != Verdict::kNotRun) may_have_run_ = true;
  if (outcome == ShardOutcome::kNoShare) call.only_holder_failed = true;
  Part& part = parts_[call.part];
  if (part.open_calls > 0) return;  // Another call of the part may still answer.
  std::uint32_t part_index = call.part;
  bool allowed = MayRetryNow(outcome, now);
  if (allowed && IsSuspect() && VerdictOf(outcome) != Verdict::kNotRun) {
    part.state = PartState::kWaitingRows;
    return;
  }
  if (!allowed || !(IsFreeRetry(outcome) || policies_.retries.TryTake())) {
    FailPart(part_index);
    return;
  }
  if (Retry(part_index, now, pending)) return;
  if (!IsFreeRetry(outcome)) policies_.retries.Refund();
  if (outcome == ShardOutcome::kVersionGone) {
    parts_[part_index].state = PartState::kWaitingView;
    version_gone_ = true;
  } else {
    FailPart(part_index);
  }
}

void ScatterGather::FailPart(std::uint32_t part_index) {
  parts_[part_index].state = PartState::kFailed;
  --active_parts_;
}

bool ScatterGather::MayRetryNow(ShardOutcome outcome, TimePoint now) const {
  Verdict verdict = VerdictOf(outcome);
  if (!MayRetry(verdict, /*idempotent=*/true)) return false;
  // A suspect query must not reach a second backend server after it may have run.
  if (spec_.canary && verdict != Verdict::kNotRun) return false;
  return HasTimeForCall(now);
}

bool ScatterGather::HasTimeForCall(TimePoint now) const {
  return finish_at_ - now > policies_.hedge.latency().median().value_or(Duration::zero());
}

bool ScatterGather::Retry(std::uint32_t part_index, TimePoint now, Pending& pending) {
  if (map_ == nullptr) return false;
  const KeyRange range = parts_[part_index].range;
  const Segment* segment = map_->Find(range.low);
  if (segment != nullptr && segment->range.Contains(range)) {
    if (!SendPartCall(part_index, *segment, CallKind::kRetry, now, pending)) return false;
    parts_[part_index].state = PartState::kOpen;
    return true;
  }
  // The segment boundaries changed, so the range is split at the new ones.
  std::uint32_t active = active_parts_;
  SendCallsFor(range, CallKind::kRetry, parts_[part_index].last_call, parts_[part_index].attempts,
               now, pending);
  if (active_parts_ == active) return false;
  FailPart(part_index);
  return true;
}

// Retries one part only, so that a query that started to crash backend servers takes down at most
// one more. Rows resume the other parts.
void ScatterGather::SendProbe(TimePoint now, Pending& pending) {
  probed_ = true;
  if (now >= finish_at_ || !HasTimeForCall(now) || !policies_.retries.TryTake()) return;
  for (std::uint32_t index = 0; index < parts_.size(); ++index) {
    if (parts_[index].state != PartState::kWaitingRows) continue;
    if (Retry(index, now, pending)) return;
    break;
  }
  policies_.retries.Refund();
}

void ScatterGather::ResumeParts(PartState state, TimePoint now, Pending& pending) {
  std::size_t count = parts_.size();
  for (std::uint32_t index = 0; index < count; ++index) {
    if (parts_[index].state != state) continue;
    bool is_free = state == PartState::kWaitingView;
    if (!HasTimeForCall(now) || !(is_free || policies_.retries.TryTake())) {
      FailPart(index);
    } else if (!Retry(index, now, pending)) {
      if (!is_free) policies_.retries.Refund();
      if (!is_free) FailPart(index);
    }
  }
}

bool ScatterGather::TryRestart(TimePoint now, Pending& pending) {
  if (restarts_ >= kMaxRestarts || !HasTimeForCall(now)) return false;
  const ServiceView& view = *views_.back();
  std::optional<IndexVersion> newer = ChooseVersion(view);
  if (!newer.has_value() || *newer <= version_) return false;
  std::uint64_t attainable = CoveredRanges().Size();
  for (const Part& part : parts_) {
    if (part.state == PartState::kOpen) attainable += part.range.Size();
  }
  const VersionMap* map = view.Find(*newer);
  if (map->covered <= attainable) return false;
  for (std::uint32_t id = 0; id < calls_.size(); ++id) {
    if (calls_[id].open) CancelCall(id, /*record=*/false, now, pending);
  }
  ++restarts_;
  accepted_ranges_.clear();
  result_.rows.clear();
  parts_.clear();
  active_parts_ = 0;
  version_ = *newer;
  map_ = map;
  SendFirstCalls(CallKind::kRetry, now, pending);
  return true;
}

// Excludes hedges and retries. Most hedges are cancelled early, and their short ages would make
// other calls look late.
void ScatterGather::RecordLatency(const Call& call, TimePoint now) {
  if (call.attempt == 0) policies_.hedge.latency().Record(now - call.sent, now);
}

void ScatterGather::CancelCall(std::uint32_t call_id, bool record, TimePoint now,
                               Pending& pending) {
  const Call& call = calls_[call_id];
  ReplicaSelector::OnEnded(call.target);
  may_have_run_ = true;
  if (record) RecordLatency(call, now);
  CloseCall(call_id);
  const NodeName& holder = call.target.holder->node;
  auto it = std::find_if(pending.cancels.begin(), pending.cancels.end(),
                         [&](const CancelSentCalls& cancel) { return cancel.holder == holder; });
  if (it == pending.cancels.end()) it = pending.cancels.insert(it, {holder, {}});
  it->call_ids.push_back(call_id);
}

void ScatterGather::Hedge(TimePoint now, Pending& pending) {
  std::optional<Duration> delay = policies_.hedge.LateAfter();
  if (!delay.has_value()) return;
  for (std::uint32_t index = 0; index < parts_.size(); ++index) {
    Part& part = parts_[index];
    if (part.state != PartState::kOpen || part.next_hedge > now) continue;
    if (!part.late) {
      part.late = true;
      ++late_parts_;
      policies_.hedge.OnLate();
    }
    part.next_hedge = TimePoint::max();
    if (spec_.canary || part.attempts >= kMaxAttempts || map_ == nullptr) continue;
    const Segment* segment = map_->Find(part.range.low);
    if (segment == nullptr || !segment->range.Contains(part.range)) continue;
    if (IsSuspect() || !policies_.hedge.TryHedge()) {
      part.next_hedge = now + *delay / 4;
    } else if (!SendPartCall(index, *segment, CallKind::kHedge, now, pending)) {
      policies_.hedge.Refund();
    }
  }
}

void ScatterGather::CollectExclusions(const Part& part) {
  excluded_.clear();
  for (const NodeName& holder : lost_holders_) excluded_.push_back({nullptr, &holder});
  for (std::int32_t id = part.last_call; id >= 0; id = calls_[id].previous) {
    const Call& call = calls_[id];
    excluded_.push_back({&call.target.replica->backend,
                         call.only_holder_failed ? &call.target.holder->node : nullptr});
  }
}

std::vector<ScatterAction> ScatterGather::FinishEvent(TimePoint now, Pending& pending) {
  bool waiting_view = version_gone_ && HasPartIn(PartState::kWaitingView);
  if (waiting_view && now < finish_at_) waiting_view = !TryRestart(now, pending);
  if (canary_pending_ && open_calls_ == 0 && !may_have_run_ && canaries_ < kMaxCanaries &&
      map_ != nullptr && HasTimeForCall(now)) {
    SendFirstCalls(CallKind::kFirst, now, pending);
  }
  if (spec_.known_good && !probed_ && IsSuspect() && open_calls_ == 0) SendProbe(now, pending);
  bool can_wait = now < finish_at_ && (open_calls_ > 0 || waiting_view);
  if (!can_wait) FinishQuery(now, pending);

  std::vector<ScatterAction> actions = std::move(pending.reports);
  actions.reserve(actions.size() + pending.sends.size() + pending.cancels.size() + 1);
  for (SendCalls& send : pending.sends) actions.emplace_back(std::move(send));
  for (CancelSentCalls& cancel : pending.cancels) actions.emplace_back(std::move(cancel));
  if (finished_) {
    actions.emplace_back(Finish{std::move(result_)});
    return actions;
  }
  if (pending.sends.empty() && timer_at_ != TimePoint::max()) return actions;
  TimePoint next = finish_at_;
  for (const Part& part : parts_) {
    if (part.state == PartState::kOpen) next = std::min(next, part.next_hedge);
  }
  if (next != timer_at_) actions.emplace_back(SetTimer{next});
  timer_at_ = next;
  return actions;
}

bool ScatterGather::HasPartIn(PartState state) const {
  return std::any_of(parts_.begin(), parts_.end(),
                     [&](const Part& part) { return part.state == state; });
}

// An unreachable zone breaks about a third of the connections of a harmless query, possibly before
// its first rows; a query that crashes backend servers breaks nearly all of them. Reports are
// therefore held until more than half of the calls are lost or the query ends without rows.
void ScatterGather::EmitHeldReports(Pending& pending) {
  for (ReportCrash& report : held_reports_) pending.reports.emplace_back(std::move(report));
  held_reports_.clear();
}

void ScatterGather::FinishQuery(TimePoint now, Pending& pending) {
  EmitHeldReports(pending);
  for (std::uint32_t id = 0; id < calls_.size(); ++id) {
    if (calls_[id].open) CancelCall(id, /*record=*/true, now, pending);
  }
  finished_ = true;
  ReleasePolicies();
  result_.version = version_;
  result_.covered = CoveredRanges();
  result_.blocked = IsSuspect() && (HasPartIn(PartState::kWaitingRows) || spec_.canary);
  if (result_.covered.Size() > 0) {
    result_.verdict = Verdict::kRan;
  } else {
    result_.verdict = may_have_run_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
  }
}

void ScatterGather::ReleasePolicies() {
  if (!counted_in_policies_) return;
  counted_in_policies_ = false;
  for (Call& call : calls_) {
    if (call.open) ReplicaSelector::OnEnded(call.target);
    call.open = false;
  }
  policies_.hedge.OnEnd(result_.first_calls, late_parts_);
}

}  // namespace damaskroute
