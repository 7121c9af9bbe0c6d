#include "damaskroute/quota/quota_client.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Nodes in each slot's order of coordinators. If none of them answers, the node uses its own share.
constexpr std::size_t kCandidates = 6;

// Until a lease is sent again; doubles each time. A coordinator that has not answered after the
// last of `kMaxTries` is passed over. Their sum, 450 ms, exceeds the pauses that a CPU quota causes
// (100 ms) and is less than the remaining time of a lease that is being renewed.
constexpr milliseconds kFirstRetry{30};
constexpr int kMaxTries = 4;

// A coordinator is also passed over after this many requests for tokens without an answer, if it
// has sent nothing for this time.
constexpr int kMaxUnanswered = 3;
constexpr milliseconds kSilence{150};

constexpr milliseconds kProbeInterval{1'000};

// Until a node whose lease was not accepted, as the coordinator does not count it yet, tries again.
constexpr milliseconds kNotAcceptedRetry{200};

// Interval of checks while requests wait.
constexpr milliseconds kTick{5};

// Requests that follow each other this closely lead to requests for further tokens.
constexpr milliseconds kStreakGap{20};
constexpr int kMaxStreak = 16;

// Longest time for which requests are refused without asking after a coordinator had no token.
// Further shares may be leased to it meanwhile.
constexpr milliseconds kMaxEmptyTime{300};

constexpr std::size_t kMaxNeeded = 1'000;

constexpr std::chrono::seconds kIdleTenantTime{10};

}  // namespace

QuotaClient::QuotaClient(NodeName node, std::uint64_t incarnation, const QuotaOptions& options,
                         Duration now)
    : node_(std::move(node)), incarnation_(incarnation), options_(options), started_(now) {}

void QuotaClient::SetTable(std::shared_ptr<const QuotaTable> table, Duration now) {
  table_ = std::move(table);
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    const auto& limits = table_->slot(i);
    auto& own = slots_[i].own;
    std::erase_if(own, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (auto& [id, bucket] : own) bucket.SetLimit(limits.at(id), now);
  }
  // Requests of tenants whose quota was removed run.
  for (QuotaId tenant : std::set(waiting_)) {
    if (HasQuota(tenant)) continue;
    for (const Waiter& waiter : tenants_[tenant].waiters) {
      actions_.verdicts.push_back({waiter.id, QuotaOutcome::kGranted, now});
    }
    tenants_[tenant].waiters.clear();
    waiting_.erase(tenant);
  }
  for (auto& [tenant, state] : tenants_) state.empty_until = {};
  OnTimer(now);
}

void QuotaClient::SetNodes(const std::vector<NodeName>& counted,
                           const std::vector<NodeName>& reachable, std::size_t min_nodes,
                           Duration confirmed, Duration now) {
  Confirm(confirmed);
  nodes_ = std::max({counted.size(), min_nodes, std::size_t{1}});
  bool is_counted = std::find(counted.begin(), counted.end(), node_) != counted.end();
  if (is_counted && !counted_) {
    counted_since_ = now;
    // Only for the first time: a node whose key was lost later may no longer be counted.
    if (joined_before_ && !was_counted_) counted_since_ -= options_.join_delay;
    was_counted_ = true;
  }
  counted_ = is_counted;
  period_ = QuotaOptions::PeriodFor(nodes_);
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    std::vector<std::pair<std::uint64_t, NodeName>> weights;
    weights.reserve(reachable.size());
    std::string key = "quota slot " + std::to_string(i);
    for (const NodeName& name : reachable) weights.emplace_back(RendezvousWeight(key, name), name);
    std::size_t count = std::min(kCandidates, weights.size());
    std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count),
                      weights.end(), std::greater<>());
    slots_[i].order.clear();
    for (std::size_t k = 0; k < count; ++k) slots_[i].order.push_back(weights[k].second);
  }
  std::erase_if(suspects_, [&](const auto& entry) {
    return std::none_of(slots_.begin(), slots_.end(), [&](const Slot& slot) {
      return std::find(slot.order.begin(), slot.order.end(), entry.first) != slot.order.end();
    });
  });
  OnTimer(now);
}

// A predecessor of this process under the same name may have leased the share until shortly before
// this one started; nodes that have not seen this node's key yet do not count it.
bool QuotaClient::MayLease(Duration now) const {
  return counted_ && now >= counted_since_ + options_.join_delay &&
         now >= started_ + period_ + options_.grant_validity;
}

NodeName QuotaClient::TargetOf(const Slot& slot) const {
  auto found = std::find_if(slot.order.begin(), slot.order.end(),
                            [&](const NodeName& name) { return !suspects_.contains(name); });
  return found == slot.order.end() ? NodeName() : *found;
}

NodeName QuotaClient::AskTarget(const Slot& slot) const {
  if (slot.holder.empty()) return TargetOf(slot);
  auto found = suspects_.find(slot.holder);
  bool answers = found == suspects_.end() || found->second.leaving;
  return answers ? slot.holder : TargetOf(slot);
}

void QuotaClient::DriveSlot(std::size_t index, Duration now) {
  Slot& slot = slots_[index];
  if (!slot.holder.empty() && slot.leased_until <= now) {
    slot.holder.clear();
    slot.own_since = slot.leased_until;
    slot.next_send = now;
    slot.tries = 0;
  }
  if (table_->slot(index).empty() || !MayLease(now)) return;
  NodeName target = TargetOf(slot);
  if (target.empty() || now < slot.next_send) return;
  if (slot.holder.empty()) {
    if (slot.contact != target) slot.tries = 0;
    slot.contact = target;
    SendStampRequest(target, index);
    BackOff(slot, target, now);
  } else if (slot.holder == target) {
    SendLease(index, now);
    BackOff(slot, target, now);
  }
}

void QuotaClient::SendStampRequest(const NodeName& to, std::size_t index) {
  QuotaLease message;
  message.node = node_;
  message.incarnation = incarnation_;
  message.slot = static_cast<std::uint8_t>(index);
  actions_.sends.push_back({to, message});
}

// The coordinator counts the lease from when it issued the stamp, which was before it arrived here.
void QuotaClient::SendLease(std::size_t index, Duration now) {
  Slot& slot = slots_[index];
  slot.leased_until = std::max(slot.leased_until, slot.stamp_received + period_);
  slot.last_lease = now;
  QuotaLease lease;
  lease.node = node_;
  lease.incarnation = incarnation_;
  lease.slot = static_cast<std::uint8_t>(index);
  lease.nodes = static_cast<std::uint32_t>(nodes_);
  lease.period_ms = static_cast<std::uint32_t>(period_.count());
  lease.idle_ms = slot.idle_ms;
  lease.coordinator = slot.holder_incarnation;
  lease.stamp = slot.stamp;
  actions_.sends.push_back({slot.holder, lease});
}

// Time for which nobody has used the share. The predecessor of this process may have leased it
// until just before it ended. Of a share that this node has used, the tokens that are left count as
// the time in which they accumulate.
std::uint32_t QuotaClient::IdleTime(Slot& slot, Duration now) const {
  Duration since = std::max(slot.own_since, started_ + period_);
  if (now <= since) return 0;
  constexpr Duration kMaxIdle = std::chrono::hours(1);
  Duration idle = std::min(now - since, kMaxIdle);
  for (auto& [id, bucket] : slot.own) {
    bucket.SetFraction(Share(), now);
    idle = std::min(idle, bucket.FillTime(now));
  }
  return static_cast<std::uint32_t>(duration_cast<milliseconds>(idle).count());
}

void QuotaClient::BackOff(Slot& slot, const NodeName& to, Duration now) {
  slot.next_send = now + kFirstRetry * (1 << slot.tries);
  if (++slot.tries <= kMaxTries) return;
  slot.tries = 0;
  slot.next_send = now;
  Suspect(to, now);
}

void QuotaClient::Suspect(const NodeName& node, Duration now, bool leaving) {
  suspects_.try_emplace(node, Avoided{now + kProbeInterval}).first->second.leaving = leaving;
}

void QuotaClient::OnHeard(const NodeName& node, Duration now) {
  auto found = suspects_.find(node);
  if (found != suspects_.end() && !found->second.leaving) suspects_.erase(found);
  contacts_[node] = {now, 0};
}

void QuotaClient::OnLeaseReply(const QuotaLeaseReply& reply, Duration now) {
  if (reply.incarnation != incarnation_ || reply.slot >= slots_.size()) return;
  OnHeard(reply.coordinator_node, now);
  if (reply.leaving) {
    Suspect(reply.coordinator_node, now, /*leaving=*/true);
    return DriveSlot(reply.slot, now);
  }
  suspects_.erase(reply.coordinator_node);  // Of a process that left and has a successor.
  Slot& slot = slots_[reply.slot];
  DriveSlot(reply.slot, now);
  if (slot.holder.empty()) {
    if (reply.coordinator_node != slot.contact || reply.coordinator == 0 || !MayLease(now)) return;
    slot.holder = reply.coordinator_node;
    slot.holder_incarnation = reply.coordinator;
    slot.stamp = reply.stamp;
    slot.stamp_received = now;
    slot.idle_ms = IdleTime(slot, now);
    slot.own.clear();
    SendLease(reply.slot, now);
    slot.contact.clear();
    slot.tries = 0;
    slot.next_send = now + kFirstRetry;
    return;
  }
  bool newer = reply.coordinator_node == slot.holder &&
               reply.coordinator == slot.holder_incarnation && reply.stamp > slot.stamp;
  if (!newer) return;
  slot.stamp = reply.stamp;
  slot.stamp_received = now;
  slot.tries = 0;
  slot.idle_ms = 0;  // The coordinator may have used the share since the first lease.
  slot.next_send =
      reply.accepted ? slot.last_lease + QuotaOptions::RenewalOf(period_) : now + kNotAcceptedRetry;
}

void QuotaClient::Take(QuotaId tenant, std::uint64_t waiter, Duration now) {
  TenantState& state = tenants_[tenant];
  state.streak = now - state.last_use < kStreakGap ? std::min(state.streak + 1, kMaxStreak) : 0;
  state.last_use = now;
  state.waiters.push_back({waiter, now + options_.max_wait});
  waiting_.insert(tenant);
  Serve(tenant, state, now);
  if (state.waiters.size() == 1 && state.asked == 0 && now < state.empty_until) {
    auto retry_after = std::chrono::ceil<milliseconds>(state.empty_until - now);
    return FailFront(tenant, state, QuotaOutcome::kOverQuota, retry_after, now);
  }
  SendAsk(tenant, state, now);
}

void QuotaClient::Cancel(QuotaId tenant, std::uint64_t waiter) {
  auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  std::erase_if(found->second.waiters, [&](const Waiter& entry) { return entry.id == waiter; });
  if (found->second.waiters.empty()) waiting_.erase(tenant);
}

void QuotaClient::Return(QuotaId tenant, Duration expires, Duration now) {
  if (expires <= now || !HasQuota(tenant)) return;
  TenantState& state = tenants_[tenant];
  auto later = std::upper_bound(state.stock.begin(), state.stock.end(), expires);
  state.stock.insert(later, expires);
  Serve(tenant, state, now);
}

void QuotaClient::Serve(QuotaId tenant, TenantState& state, Duration now) {
  while (!state.stock.empty() && state.stock.front() <= now) state.stock.erase(state.stock.begin());
  while (!state.stock.empty() && !state.waiters.empty()) {
    actions_.verdicts.push_back(
        {state.waiters.front().id, QuotaOutcome::kGranted, state.stock.front()});
    state.waiters.erase(state.waiters.begin());
    state.stock.erase(state.stock.begin());
  }
  if (state.waiters.empty()) waiting_.erase(tenant);
}

void QuotaClient::SendAsk(QuotaId tenant, TenantState& state, Duration now) {
  if (state.waiters.size() <= state.asked || now < state.next_ask) return;
  NodeName target = AskTarget(slots_[QuotaTable::SlotOf(tenant)]);
  if (target.empty()) return;
  Ask ask;
  ask.to = target;
  ask.sent = now;
  ask.message.node = node_;
  ask.message.incarnation = incarnation_;
  ask.message.sequence = next_sequence_++;
  ask.message.tenant = tenant;
  ask.message.needed =
      static_cast<std::uint16_t>(std::min(state.waiters.size() - state.asked, kMaxNeeded));
  ask.message.extra = static_cast<std::uint16_t>(state.streak / 2);
  state.asked += ask.message.needed;
  actions_.sends.push_back({target, ask.message});
  asks_.emplace(ask.message.sequence, std::move(ask));
}

void QuotaClient::OnGrant(const QuotaGrant& grant, Duration now) {
  if (grant.incarnation != incarnation_) return;
  OnHeard(grant.coordinator_node, now);
  auto found = asks_.find(grant.sequence);
  if (found == asks_.end()) return;
  Ask ask = std::move(found->second);
  asks_.erase(found);
  QuotaId tenant = ask.message.tenant;
  TenantState& state = tenants_[tenant];
  if (!ask.given_up) state.asked -= std::min<std::size_t>(state.asked, ask.message.needed);
  Duration expires = ask.sent + options_.grant_validity;
  if (HasQuota(tenant) && expires > now) {
    auto later = std::upper_bound(state.stock.begin(), state.stock.end(), expires);
    state.stock.insert(later, grant.granted, expires);
  }
  Serve(tenant, state, now);
  if (ask.given_up) return;
  if (!grant.responsible) {
    // The shares may be on the way to another coordinator.
    state.next_ask = now + options_.retransmit_after;
    return;
  }
  std::size_t uncovered =
      state.waiters.size() > state.asked ? state.waiters.size() - state.asked : 0;
  if (grant.granted < ask.message.needed) {
    auto empty_for = std::min(milliseconds(grant.retry_ms), kMaxEmptyTime);
    state.empty_until = std::max(state.empty_until, ask.sent + empty_for);
  }
  std::size_t missing = ask.message.needed - std::min(ask.message.needed, grant.granted);
  for (std::size_t i = 0; i < std::min(uncovered, missing); ++i) {
    FailFront(tenant, state, QuotaOutcome::kOverQuota, milliseconds(grant.retry_ms), now);
  }
  SendAsk(tenant, state, now);
}

// The first waiter gets a token of the node's own share; if there is none, `outcome`.
void QuotaClient::FailFront(QuotaId tenant, TenantState& state, QuotaOutcome outcome,
                            milliseconds retry_after, Duration now) {
  std::uint64_t waiter = state.waiters.front().id;
  state.waiters.erase(state.waiters.begin());
  if (state.waiters.empty()) waiting_.erase(tenant);
  if (TakeOwn(tenant, now)) {
    actions_.verdicts.push_back({waiter, QuotaOutcome::kGranted, now + options_.grant_validity});
  } else {
    actions_.verdicts.push_back({waiter, outcome, {}, retry_after});
  }
}

bool QuotaClient::TakeOwn(QuotaId tenant, Duration now) {
  std::size_t index = QuotaTable::SlotOf(tenant);
  DriveSlot(index, now);
  Slot& slot = slots_[index];
  const QuotaLimit* limit = table_->Find(tenant);
  if (limit == nullptr || !slot.holder.empty() || !MayLease(now)) return false;
  if (now - confirmed_ > kMaxViewAge) return false;
  auto [found, created] = slot.own.try_emplace(tenant, *limit, Share(), now);
  QuotaBucket& bucket = found->second;
  Duration idle_since = std::max(slot.own_since, started_ + period_);
  if (created && now > idle_since) bucket.Credit(Share(), now - idle_since);
  if (!created) bucket.SetFraction(Share(), now);
  return bucket.Take(1, /*reserve=*/0, now) == 1;
}

void QuotaClient::OnTimer(Duration now) {
  if (!table_->empty()) {
    ProbeSuspects(now);
    for (std::size_t i = 0; i < slots_.size(); ++i) DriveSlot(i, now);
  }
  DriveAsks(now);
  DriveWaiters(now);
  ForgetIdleTenants(now);
}

void QuotaClient::ProbeSuspects(Duration now) {
  for (auto& [node, avoided] : suspects_) {
    if (now < avoided.next_probe) continue;
    avoided.next_probe = now + kProbeInterval;
    SendStampRequest(node, 0);
  }
}

void QuotaClient::DriveAsks(Duration now) {
  for (auto it = asks_.begin(); it != asks_.end();) {
    Ask& ask = it->second;
    if (!ask.given_up && now - ask.sent >= options_.max_wait) {
      ask.given_up = true;
      TenantState& state = tenants_[ask.message.tenant];
      state.asked -= std::min<std::size_t>(state.asked, ask.message.needed);
      Contact& contact = contacts_[ask.to];
      bool silent = now - contact.heard > kSilence;
      if (++contact.unanswered >= kMaxUnanswered && silent) Suspect(ask.to, now);
    } else if (!ask.resent && !ask.given_up && now - ask.sent >= options_.retransmit_after) {
      ask.resent = true;
      actions_.sends.push_back({ask.to, ask.message});
    }
    it = now - ask.sent >= options_.grant_validity ? asks_.erase(it) : std::next(it);
  }
}

void QuotaClient::DriveWaiters(Duration now) {
  for (QuotaId tenant : std::set(waiting_)) {
    TenantState& state = tenants_[tenant];
    while (!state.waiters.empty() && state.waiters.front().deadline <= now) {
      FailFront(tenant, state, QuotaOutcome::kNoAnswer, {}, now);
    }
    SendAsk(tenant, state, now);
  }
}

void QuotaClient::ForgetIdleTenants(Duration now) {
  if (now < next_forget_) return;
  next_forget_ = now + kIdleTenantTime;
  std::erase_if(tenants_, [now](const auto& entry) {
    const TenantState& state = entry.second;
    return state.waiters.empty() && state.asked == 0 && now - state.last_use > kIdleTenantTime;
  });
  std::erase_if(contacts_, [now](const auto& entry) {
    return now - entry.second.heard > std::chrono::minutes(10);
  });
}

Duration QuotaClient::NextTimer(Duration now) const {
  if (!waiting_.empty() || !asks_.empty()) return now + kTick;
  if (table_->empty()) return Duration::max();
  Duration next = Duration::max();
  for (const auto& [node, avoided] : suspects_) next = std::min(next, avoided.next_probe);
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    const Slot& slot = slots_[i];
    if (!slot.holder.empty()) next = std::min(next, slot.leased_until);
    if (table_->slot(i).empty()) continue;
    if (!MayLease(now)) {
      if (counted_) {
        next = std::min(next, std::max(counted_since_ + options_.join_delay,
                                       started_ + period_ + options_.grant_validity));
      }
    } else if (!slot.order.empty() && (slot.holder.empty() || slot.holder == TargetOf(slot))) {
      next = std::min(next, slot.next_send);
    }
  }
  if (next == Duration::max()) return next;
  return std::max(next, now + kTick);
}

std::vector<NodeName> QuotaClient::Suspects() const {
  std::vector<NodeName> names;
  for (const auto& [node, avoided] : suspects_) names.push_back(node);
  return names;
}

std::size_t QuotaClient::waiting() const {
  std::size_t count = 0;
  for (QuotaId tenant : waiting_) count += tenants_.at(tenant).waiters.size();
  return count;
}

}  // namespace damaskroute
