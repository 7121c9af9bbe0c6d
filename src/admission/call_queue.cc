#include "damaskroute/admission/call_queue.h"

#include <algorithm>
#include <iterator>

namespace damaskroute {

CallQueue::CallQueue(const CallQueueSettings& settings, LatencyQuantiles& latency)
    : settings_(settings), latency_(latency) {}

std::vector<QueueAction> CallQueue::Enqueue(const CallTicket& ticket, TimePoint now) {
  std::vector<QueueAction> actions;
  auto refuse = [&](RefuseReason reason) {
    actions.emplace_back(RefuseCall{ticket.token, reason, EstimateWait(waiting_.size() + 1)});
    return actions;
  };
  if (limit_ == 0) return refuse(RefuseReason::kNoSlots);
  if (waiting_.contains(ticket.token) || running_.contains(ticket.token)) {
    return refuse(RefuseReason::kQueueFull);
  }
  bool must_wait = running_.size() >= limit_ || !waiting_.empty();
  Duration wait = must_wait ? EstimateWait(CallsBefore(ticket)) : Duration::zero();
  if (ticket.deadline - now <= wait + Median()) {
    return refuse(RefuseReason::kNoTime);
  }
  if (!must_wait) {
    // Common case: a slot is free and the wait lists stay untouched.
    if (ticket.priority != Priority::kUrgent) consecutive_normal_ = 0;
    running_.insert({ticket.token, {now, ticket.deadline}});
    actions.emplace_back(StartCall{ticket.token});
    ArmTimer(actions);
    return actions;
  }
  if (!EvictFor(ticket, actions)) return refuse(RefuseReason::kQueueFull);
  auto it =
      WaitListOf(ticket.priority).insert({ticket.deadline, next_sequence_++, ticket.token}).first;
  waiting_.insert({ticket.token, {ticket.priority, it}});
  StartWaiting(now, actions);
  ArmTimer(actions);
  return actions;
}

std::vector<QueueAction> CallQueue::OnDone(std::uint64_t token, bool answered, TimePoint now) {
  std::vector<QueueAction> actions;
  auto it = running_.find(token);
  if (it == running_.end()) return actions;
  if (answered) latency_.Record(now - it->second.started, now);
  running_.erase(it);
  StartWaiting(now, actions);
  ArmTimer(actions);
  return actions;
}

std::vector<QueueAction> CallQueue::Cancel(std::uint64_t token, TimePoint now) {
  std::vector<QueueAction> actions;
  if (auto it = waiting_.find(token); it != waiting_.end()) {
    Remove(WaitListOf(it->second.first), it->second.second);
  } else if (auto run = running_.find(token); run != running_.end() && !run->second.cancelled) {
    run->second.cancelled = true;
    actions.emplace_back(CancelRunning{token});
  }
  StartWaiting(now, actions);
  ArmTimer(actions);
  return actions;
}

std::vector<QueueAction> CallQueue::SetLimit(std::uint32_t slots, TimePoint now) {
  std::vector<QueueAction> actions;
  limit_ = slots;
  if (limit_ == 0) {
    for (WaitList& list : wait_lists_) {
      for (const Entry& entry : list) {
        actions.emplace_back(RefuseCall{entry.token, RefuseReason::kNoSlots, Median()});
      }
      list.clear();
    }
    waiting_.clear();
  }
  StartWaiting(now, actions);
  ArmTimer(actions);
  return actions;
}

std::vector<QueueAction> CallQueue::OnTimer(TimePoint now) {
  std::vector<QueueAction> actions;
  timer_at_ = TimePoint::max();
  for (auto& [token, run] : running_) {
    if (run.cancelled || run.deadline > now) continue;
    run.cancelled = true;
    actions.emplace_back(CancelRunning{token});
  }
  DropExpiring(now, actions);
  ArmTimer(actions);
  return actions;
}

Duration CallQueue::Median() const { return latency_.median().value_or(Duration::zero()); }

Duration CallQueue::EstimateWait(std::size_t calls) const {
  return Median() * static_cast<Duration::rep>(calls) / std::max<std::uint32_t>(limit_, 1);
}

std::size_t CallQueue::CallsBefore(const CallTicket& ticket) const {
  auto rank = static_cast<std::size_t>(ticket.priority);
  std::size_t count = 0;
  for (std::size_t higher = 0; higher < rank; ++higher) count += wait_lists_[higher].size();
  const WaitList& list = wait_lists_[rank];
  count += std::distance(list.begin(),
                         list.upper_bound({ticket.deadline, next_sequence_, ticket.token}));
  return count;
}

// Evicts the last call of lower priority from a full queue.
bool CallQueue::EvictFor(const CallTicket& ticket, std::vector<QueueAction>& actions) {
  if (waiting_.size() < settings_.max_queued) return true;
  for (std::size_t rank = wait_lists_.size() - 1; rank > static_cast<std::size_t>(ticket.priority);
       --rank) {
    if (wait_lists_[rank].empty()) continue;
    auto last = std::prev(wait_lists_[rank].end());
    actions.emplace_back(
        RefuseCall{last->token, RefuseReason::kQueueFull, EstimateWait(waiting_.size())});
    Remove(wait_lists_[rank], last);
    return true;
  }
  return false;
}

void CallQueue::Remove(WaitList& list, WaitList::iterator it) {
  waiting_.erase(it->token);
  list.erase(it);
}

void CallQueue::DropExpiring(TimePoint now, std::vector<QueueAction>& actions) {
  Duration median = Median();
  for (WaitList& list : wait_lists_) {
    while (!list.empty() && list.begin()->deadline - now <= median) {
      const Entry& first = *list.begin();
      if (first.deadline <= now) {
        actions.emplace_back(ExpireCall{first.token});
      } else {
        actions.emplace_back(
            RefuseCall{first.token, RefuseReason::kNoTime, EstimateWait(waiting_.size())});
      }
      Remove(list, list.begin());
    }
  }
}

CallQueue::WaitList* CallQueue::NextWaitList() {
  WaitList& urgent = WaitListOf(Priority::kUrgent);
  WaitList& normal = WaitListOf(Priority::kNormal);
  WaitList& bulk = WaitListOf(Priority::kBulk);
  if (!urgent.empty()) return &urgent;
  bool bulk_due = !bulk.empty() && consecutive_normal_ >= settings_.normal_per_bulk;
  if (!normal.empty() && !bulk_due) {
    consecutive_normal_ = bulk.empty() ? 0 : consecutive_normal_ + 1;
    return &normal;
  }
  if (bulk.empty()) return nullptr;
  consecutive_normal_ = 0;
  return &bulk;
}

void CallQueue::StartWaiting(TimePoint now, std::vector<QueueAction>& actions) {
  if (waiting_.empty() || running_.size() >= limit_) return;
  DropExpiring(now, actions);
  while (running_.size() < limit_) {
    WaitList* list = NextWaitList();
    if (list == nullptr) return;
    Entry first = *list->begin();
    Remove(*list, list->begin());
    running_.insert({first.token, {now, first.deadline}});
    actions.emplace_back(StartCall{first.token});
  }
}

void CallQueue::ArmTimer(std::vector<QueueAction>& actions) {
  TimePoint next = TimePoint::max();
  Duration median = Median();
  for (const WaitList& list : wait_lists_) {
    if (!list.empty()) next = std::min(next, list.begin()->deadline - median);
  }
  for (const auto& [token, run] : running_) {
    if (!run.cancelled) next = std::min(next, run.deadline);
  }
  // A timer that fires early is harmless, so the timer is only ever moved to an earlier time.
  if (next >= timer_at_) return;
  timer_at_ = next;
  actions.emplace_back(SetQueueTimer{next});
}

}  // namespace damaskroute
