#include "damaskroute/admission/call_queue.h"

#include <algorithm>
#include <iterator>

namespace damaskroute {

CallQueue::CallQueue(const CallQueueSettings& settings, LatencyQuantiles& latency)
    : settings_(settings), latency_(latency) {}

std::vector<QueueAction> CallQueue::Enqueue(const CallTicket& ticket, TimePoint now) {
  std::vector<QueueAction> actions;
  auto refuse = [&](RefuseReason reason) {
    actions.emplace_back(RefuseCall{ticket.token, reason, WaitBehind(waiting_.size() + 1)});
    return actions;
  };
  if (limit_ == 0) return refuse(RefuseReason::kNoSlots);
  if (waiting_.contains(ticket.token) || running_.contains(ticket.token)) {
    return refuse(RefuseReason::kQueueFull);
  }
  bool must_wait = running_.size() >= limit_ || !waiting_.empty();
  Duration wait = must_wait ? WaitBehind(CallsBefore(ticket)) : Duration::zero();
  if (ticket.deadline - now <= wait + Median()) {
    return refuse(RefuseReason::kNoTime);
  }
  if (!must_wait) {
    // Most calls find a slot; these leave the lines alone.
    if (ticket.priority != Priority::kUrgent) normal_in_a_row_ = 0;
    running_.insert({ticket.token, {now, ticket.deadline}});
    actions.emplace_back(StartCall{ticket.token});
    ArmTimer(actions);
    return actions;
  }
  if (!MakeRoomFor(ticket, actions)) return refuse(RefuseReason::kQueueFull);
  auto it = LineOf(ticket.priority).insert({ticket.deadline, next_sequence_++, ticket.token}).first;
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
    Remove(LineOf(it->second.first), it->second.second);
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
    for (Line& line : lines_) {
      for (const Entry& entry : line) {
        actions.emplace_back(RefuseCall{entry.token, RefuseReason::kNoSlots, Median()});
      }
      line.clear();
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
  DropHopeless(now, actions);
  ArmTimer(actions);
  return actions;
}

Duration CallQueue::Median() const { return latency_.median().value_or(Duration::zero()); }

Duration CallQueue::WaitBehind(std::size_t calls) const {
  return Median() * static_cast<Duration::rep>(calls) / std::max<std::uint32_t>(limit_, 1);
}

std::size_t CallQueue::CallsBefore(const CallTicket& ticket) const {
  auto rank = static_cast<std::size_t>(ticket.priority);
  std::size_t count = 0;
  for (std::size_t higher = 0; higher < rank; ++higher) count += lines_[higher].size();
  const Line& line = lines_[rank];
  count += std::distance(line.begin(),
                         line.upper_bound({ticket.deadline, next_sequence_, ticket.token}));
  return count;
}

// A full queue gives up its last call of lower priority.
bool CallQueue::MakeRoomFor(const CallTicket& ticket, std::vector<QueueAction>& actions) {
  if (waiting_.size() < settings_.max_queued) return true;
  for (std::size_t rank = lines_.size() - 1; rank > static_cast<std::size_t>(ticket.priority);
       --rank) {
    if (lines_[rank].empty()) continue;
    auto last = std::prev(lines_[rank].end());
    actions.emplace_back(
        RefuseCall{last->token, RefuseReason::kQueueFull, WaitBehind(waiting_.size())});
    Remove(lines_[rank], last);
    return true;
  }
  return false;
}

void CallQueue::Remove(Line& line, Line::iterator it) {
  waiting_.erase(it->token);
  line.erase(it);
}

void CallQueue::DropHopeless(TimePoint now, std::vector<QueueAction>& actions) {
  Duration median = Median();
  for (Line& line : lines_) {
    while (!line.empty() && line.begin()->deadline - now <= median) {
      const Entry& first = *line.begin();
      if (first.deadline <= now) {
        actions.emplace_back(ExpireCall{first.token});
      } else {
        actions.emplace_back(
            RefuseCall{first.token, RefuseReason::kNoTime, WaitBehind(waiting_.size())});
      }
      Remove(line, line.begin());
    }
  }
}

CallQueue::Line* CallQueue::NextLine() {
  Line& urgent = LineOf(Priority::kUrgent);
  Line& normal = LineOf(Priority::kNormal);
  Line& bulk = LineOf(Priority::kBulk);
  if (!urgent.empty()) return &urgent;
  bool bulk_due = !bulk.empty() && normal_in_a_row_ >= settings_.normal_per_bulk;
  if (!normal.empty() && !bulk_due) {
    normal_in_a_row_ = bulk.empty() ? 0 : normal_in_a_row_ + 1;
    return &normal;
  }
  if (bulk.empty()) return nullptr;
  normal_in_a_row_ = 0;
  return &bulk;
}

void CallQueue::StartWaiting(TimePoint now, std::vector<QueueAction>& actions) {
  if (waiting_.empty() || running_.size() >= limit_) return;
  DropHopeless(now, actions);
  while (running_.size() < limit_) {
    Line* line = NextLine();
    if (line == nullptr) return;
    Entry first = *line->begin();
    Remove(*line, line->begin());
    running_.insert({first.token, {now, first.deadline}});
    actions.emplace_back(StartCall{first.token});
  }
}

void CallQueue::ArmTimer(std::vector<QueueAction>& actions) {
  TimePoint next = TimePoint::max();
  Duration median = Median();
  for (const Line& line : lines_) {
    if (!line.empty()) next = std::min(next, line.begin()->deadline - median);
  }
  for (const auto& [token, run] : running_) {
    if (!run.cancelled) next = std::min(next, run.deadline);
  }
  // A timer that fires early is harmless, so it is moved only to an earlier time.
  if (next >= timer_at_) return;
  timer_at_ = next;
  actions.emplace_back(SetQueueTimer{next});
}

}  // namespace damaskroute
