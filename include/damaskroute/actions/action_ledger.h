#ifndef DAMASKROUTE_ACTIONS_ACTION_LEDGER_H_
#define DAMASKROUTE_ACTIONS_ACTION_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskroute/actions/action_id.h"
#include "damaskroute/actions/action_outcome.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Bounds of an `ActionLedger`.
struct ActionLedgerOptions {
  std::size_t max_unused = 100'000;    ///< Issued ids that no request has used yet.
  std::size_t max_finished = 100'000;  ///< Retained outcomes.
  Duration max_age = std::chrono::minutes(10);
  std::size_t max_answer_bytes = std::size_t{16} << 20;  ///< Total size of retained answers.
  std::size_t max_waiters = 64;  ///< Repeated requests waiting for one action.
};

/// Tracks the actions that this process issued and ensures that each runs at most once. Not
/// thread-safe: all calls come from one event loop.
class ActionLedger {
 public:
  /// Identifies a request that waits for an outcome.
  using Waiter = std::uint64_t;

  /// What to do with a request for an action.
  enum class Step : std::uint8_t {
    kRun,       ///< Send the only attempt, then call `Finish`. The waiter is registered.
    kWait,      ///< The action is running. The waiter is registered.
    kFinished,  ///< Answer with `outcome`.
    kForeign,   ///< Issued by another process; see `RouteAction`.
    kInvalid,   ///< Never issued by this process.
  };
  struct Decision {
    Step step = Step::kInvalid;
    ActionOutcome outcome;
  };

  ActionLedger(NodeName self, Incarnation incarnation, ActionLedgerOptions options = {})
      : self_(std::move(self)), incarnation_(incarnation), options_(options) {}

  /// Issues a new id.
  ActionId Issue(TimePoint now);

  /// Handles a request to run the action. Returns `kRun` at most once per id.
  Decision Begin(const ActionId& id, Waiter waiter, TimePoint now);

  /// Handles a request that is refused before any attempt, for example because of load. The refusal
  /// is final for an unused id; otherwise the decision is the same as that of `Begin`.
  Decision Refuse(const ActionId& id, Waiter waiter, TimePoint now);

  /// Records the result of the only attempt and returns the waiters to answer. `kMayHaveRun` may be
  /// replaced once by a definite outcome from a late result, which later repeated requests get. Any
  /// other call is ignored.
  std::vector<Waiter> Finish(const ActionId& id, ActionOutcome outcome, TimePoint now);

  /// Drops entries older than `max_age`. Call every few seconds.
  void OnTimer(TimePoint now);

  std::size_t unused() const { return unused_.size(); }
  std::size_t finished() const { return finished_.size(); }
  std::size_t running() const { return running_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  using TimedCounter = std::pair<std::uint64_t, TimePoint>;

  Decision Lookup(const ActionId& id, Waiter waiter);
  void Record(std::uint64_t counter, ActionOutcome outcome, TimePoint now);
  void KeepAnswer(std::uint64_t counter, std::optional<std::string> answer);
  void DropOldestFinished();
  void DropOldestUnused();

  NodeName self_;
  Incarnation incarnation_;
  ActionLedgerOptions options_;
  std::uint64_t last_counter_ = 0;
  // Keyed by counter. An id up to `last_counter_` that is in none of the maps was evicted.
  std::unordered_map<std::uint64_t, TimePoint> unused_;
  std::unordered_map<std::uint64_t, std::vector<Waiter>> running_;
  std::unordered_map<std::uint64_t, ActionOutcome> finished_;
  std::deque<TimedCounter> unused_order_;    // May contain ids that have been used.
  std::deque<TimedCounter> finished_order_;  // Same ids as `finished_`.
  std::deque<std::uint64_t> answer_order_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ACTIONS_ACTION_LEDGER_H_
