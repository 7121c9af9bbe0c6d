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
  std::size_t max_unused = 100'000;    ///< Issued ids that were not used yet.
  std::size_t max_finished = 100'000;  ///< Outcomes kept.
  Duration max_age = std::chrono::minutes(10);
  std::size_t max_answer_bytes = std::size_t{16} << 20;  ///< Of all kept answers together.
  std::size_t max_waiters = 64;                          ///< Repeats waiting for one action.
};

/// States of the actions that this process issued; makes each of them run at most once. All calls
/// come from one event loop, so there is no lock.
class ActionLedger {
 public:
  /// Identifies a request that waits for an outcome.
  using Waiter = std::uint64_t;

  /// What to do with a request for an action.
  enum class Step : std::uint8_t {
    kRun,       ///< Send the one attempt, then call `Finish`. The waiter is registered.
    kWait,      ///< The action runs. The waiter is registered.
    kFinished,  ///< Answer with `outcome`.
    kForeign,   ///< Issued by another process: see `DecideForeign`.
    kInvalid,   ///< Never issued by this process.
  };
  struct Decision {
    Step step = Step::kInvalid;
    ActionOutcome outcome;
  };

  ActionLedger(NodeName self, Incarnation incarnation, ActionLedgerOptions options = {})
      : self_(std::move(self)), incarnation_(incarnation), options_(options) {}

  /// Issues an id.
  ActionId Issue(TimePoint now);

  /// A request to run the action. Gives `kRun` at most once for each id.
  Decision Begin(const ActionId& id, Waiter waiter, TimePoint now);

  /// A request that is refused before any attempt, for load for example. The refusal is final for
  /// an id that was not used; otherwise the decision is the same as that of `Begin`.
  Decision Refuse(const ActionId& id, Waiter waiter, TimePoint now);

  /// Result of the one attempt; returns the waiters to answer. `kMayHaveRun` may be followed by
  /// one definite outcome from a late result, which later repeats get. Any other call is ignored.
  std::vector<Waiter> Finish(const ActionId& id, ActionOutcome outcome, TimePoint now);

  /// Drops what is too old. To be called every few seconds.
  void OnTimer(TimePoint now);

  std::size_t unused() const { return unused_.size(); }
  std::size_t finished() const { return finished_.size(); }
  std::size_t running() const { return running_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  using Aged = std::pair<std::uint64_t, TimePoint>;

  Decision Look(const ActionId& id, Waiter waiter);
  void Record(std::uint64_t counter, ActionOutcome outcome, TimePoint now);
  void KeepAnswer(std::uint64_t counter, std::optional<std::string> answer);
  void DropOldestFinished();
  void DropOldestUnused();

  NodeName self_;
  Incarnation incarnation_;
  ActionLedgerOptions options_;
  std::uint64_t last_ = 0;
  // By counter. An id up to `last_` that is in none of them was evicted.
  std::unordered_map<std::uint64_t, TimePoint> unused_;
  std::unordered_map<std::uint64_t, std::vector<Waiter>> running_;
  std::unordered_map<std::uint64_t, ActionOutcome> finished_;
  std::deque<Aged> unused_order_;    // May contain ids that were used since.
  std::deque<Aged> finished_order_;  // Parallel to `finished_`.
  std::deque<std::uint64_t> answer_order_;
  std::size_t answer_bytes_ = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ACTIONS_ACTION_LEDGER_H_
