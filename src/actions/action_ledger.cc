#include "damaskroute/actions/action_ledger.h"

namespace damaskroute {

ActionId ActionLedger::Issue(TimePoint now) {
  ++last_counter_;
  unused_.emplace(last_counter_, now);
  unused_order_.emplace_back(last_counter_, now);
  // Used ids stay in `unused_order_` until they reach its front, so its size is bounded too.
  while (unused_.size() > options_.max_unused || unused_order_.size() > 2 * options_.max_unused) {
    DropOldestUnused();
  }
  return {self_, incarnation_, last_counter_};
}

ActionLedger::Decision ActionLedger::Lookup(const ActionId& id, Waiter waiter) {
  if (id.issuer != self_ || id.incarnation != incarnation_) return {Step::kForeign, {}};
  if (id.counter == 0 || id.counter > last_counter_) return {Step::kInvalid, {}};
  if (auto it = finished_.find(id.counter); it != finished_.end()) {
    return {Step::kFinished, it->second};
  }
  if (auto it = running_.find(id.counter); it != running_.end()) {
    if (it->second.size() >= options_.max_waiters) return {Step::kFinished, {}};
    it->second.push_back(waiter);
    return {Step::kWait, {}};
  }
  if (unused_.contains(id.counter)) return {Step::kRun, {}};
  return {Step::kFinished, {}};
}

ActionLedger::Decision ActionLedger::Begin(const ActionId& id, Waiter waiter, TimePoint now) {
  OnTimer(now);
  Decision decision = Lookup(id, waiter);
  if (decision.step == Step::kRun) {
    unused_.erase(id.counter);
    running_[id.counter].push_back(waiter);
  }
  return decision;
}

ActionLedger::Decision ActionLedger::Refuse(const ActionId& id, Waiter waiter, TimePoint now) {
  OnTimer(now);
  Decision decision = Lookup(id, waiter);
  if (decision.step != Step::kRun) return decision;
  unused_.erase(id.counter);
  ActionOutcome refused{Verdict::kNotRun, std::nullopt};
  Record(id.counter, refused, now);
  return {Step::kFinished, refused};
}

std::vector<ActionLedger::Waiter> ActionLedger::Finish(const ActionId& id, ActionOutcome outcome,
                                                       TimePoint now) {
  if (id.issuer != self_ || id.incarnation != incarnation_) return {};
  auto it = running_.find(id.counter);
  if (it != running_.end()) {
    std::vector<Waiter> waiters = std::move(it->second);
    running_.erase(it);
    Record(id.counter, std::move(outcome), now);
    return waiters;
  }
  auto known = finished_.find(id.counter);
  if (known != finished_.end() && known->second.verdict == Verdict::kMayHaveRun) {
    known->second.verdict = outcome.verdict;
    KeepAnswer(id.counter, std::move(outcome.answer));
  }
  return {};
}

void ActionLedger::Record(std::uint64_t counter, ActionOutcome outcome, TimePoint now) {
  while (finished_.size() >= options_.max_finished) DropOldestFinished();
  finished_.emplace(counter, ActionOutcome{outcome.verdict, std::nullopt});
  finished_order_.emplace_back(counter, now);
  KeepAnswer(counter, std::move(outcome.answer));
}

void ActionLedger::KeepAnswer(std::uint64_t counter, std::optional<std::string> answer) {
  if (!answer || answer->size() > options_.max_answer_bytes) return;
  answer_bytes_ += answer->size();
  finished_.at(counter).answer = std::move(answer);
  answer_order_.push_back(counter);
  // The verdict stays, so a repeated request still gets the verdict, without the answer.
  while (answer_bytes_ > options_.max_answer_bytes ||
         answer_order_.size() > options_.max_finished) {
    auto oldest = finished_.find(answer_order_.front());
    answer_order_.pop_front();
    if (oldest == finished_.end() || !oldest->second.answer) continue;
    answer_bytes_ -= oldest->second.answer->size();
    oldest->second.answer.reset();
  }
}

void ActionLedger::DropOldestFinished() {
  auto it = finished_.find(finished_order_.front().first);
  if (it->second.answer) answer_bytes_ -= it->second.answer->size();
  finished_.erase(it);
  finished_order_.pop_front();
}

void ActionLedger::DropOldestUnused() {
  unused_.erase(unused_order_.front().first);
  unused_order_.pop_front();
}

void ActionLedger::OnTimer(TimePoint now) {
  while (!finished_order_.empty() && now - finished_order_.front().second >= options_.max_age) {
    DropOldestFinished();
  }
  while (!unused_order_.empty() && now - unused_order_.front().second >= options_.max_age) {
    DropOldestUnused();
  }
}

}  // namespace damaskroute
