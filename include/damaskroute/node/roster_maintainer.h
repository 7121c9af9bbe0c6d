#ifndef DAMASKROUTE_NODE_ROSTER_MAINTAINER_H_
#define DAMASKROUTE_NODE_ROSTER_MAINTAINER_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "damaskroute/core/error_text.h"
#include "damaskroute/core/time.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/store_agent_hooks.h"
#include "damaskroute/roster/roster_codec.h"
#include "damaskroute/roster/roster_updater.h"
#include "damaskroute/store/config_store.h"
#include "damaskroute/store/vm_list.h"

namespace damaskroute {

/// Key of the roster in the store.
inline constexpr char kRosterKey[] = "damaskroute/roster";

/// Reads the platform's VM list; calls block.
template <typename T>
concept VmSource = requires(T& source) {
  { source.Read() } -> std::same_as<absl::StatusOr<VmList>>;
};

/// Maintains this node's roster entry and, while the node is a reader, the entries of other nodes:
/// executes the actions of a `RosterUpdater` on a thread of its own, because the store calls block.
template <ConfigStore Store, VmSource Vms>
class RosterMaintainer {
 public:
  /// `hooks` must outlive the maintainer.
  RosterMaintainer(Store store, Vms vms, RosterUpdaterOptions options, const StoreAgentHooks& hooks)
      : store_(std::move(store)),
        vms_(std::move(vms)),
        hooks_(hooks),
        updater_(std::move(options)) {}
  ~RosterMaintainer() { Stop(); }
  RosterMaintainer(const RosterMaintainer&) = delete;
  RosterMaintainer& operator=(const RosterMaintainer&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  /// Stops the thread; waits for a call in progress, at most until its deadline.
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) thread_.join();
  }

  /// Marks this node's entry as leaving; false if that is not confirmed within `limit`.
  bool MarkLeaving(Duration limit) { return RequestOutcome(LocalEntryOutcome::kLeaving, limit); }

  /// Removes this node's entry; false if that is not confirmed within `limit`.
  bool Leave(Duration limit) { return RequestOutcome(LocalEntryOutcome::kRemoved, limit); }

 private:
  static constexpr std::chrono::milliseconds kMemberCheckPeriod{500};
  static constexpr std::chrono::seconds kVmListPeriod{2};

  static TimePoint Now() { return SteadyClock().Now(); }

  bool RequestOutcome(LocalEntryOutcome requested, Duration limit) {
    std::unique_lock lock(mutex_);
    requested_outcome_ = requested;
    outcome_.reset();
    changed_.notify_all();
    return changed_.wait_for(lock, limit, [&] { return outcome_ == requested; });
  }

  void Run() {
    Execute(updater_.Join(Now()));
    TimePoint next_tick = Now();
    while (true) {
      std::optional<LocalEntryOutcome> requested;
      {
        std::unique_lock lock(mutex_);
        TimePoint due = timer_ ? std::min(*timer_, next_tick) : next_tick;
        changed_.wait_until(lock, due,
                            [this] { return stopping_ || requested_outcome_.has_value(); });
        if (stopping_) return;
        requested = std::exchange(requested_outcome_, std::nullopt);
      }
      if (requested == LocalEntryOutcome::kLeaving) Execute(updater_.MarkLeaving(Now()));
      if (requested == LocalEntryOutcome::kRemoved) Execute(updater_.Leave(Now()));
      if (Now() >= next_tick) {
        next_tick = Now() + kMemberCheckPeriod;
        Tick();
      }
      if (timer_ && *timer_ <= Now()) {
        timer_.reset();
        Execute(updater_.OnTimer(Now()));
      }
    }
  }

  void Tick() {
    std::shared_ptr<const Roster> roster = hooks_.roster();
    if (roster->revision > seen_roster_revision_) {
      seen_roster_revision_ = roster->revision;
      Execute(updater_.OnRoster(*roster, Now()));
    }
    bool reader = hooks_.is_reader();
    if (!reader && joined_) return;
    std::vector<RosterEntry> live = hooks_.live_members();
    Execute(updater_.OnMembers(reader, live, Now()));
    if (reader && Now() >= next_vm_list_) {
      next_vm_list_ = Now() + kVmListPeriod;
      CheckVms(*roster, live);
    }
  }

  void CheckVms(const Roster& roster, const std::vector<RosterEntry>& live) {
    absl::StatusOr<VmList> list = vms_.Read();
    if (!list.ok()) return;
    std::set<NodeName> names;
    for (const VmEntry& vm : list->vms) names.insert(vm.name);
    std::set<NodeName> dead;
    for (const RosterEntry& entry : roster.node_entries) dead.insert(entry.node);
    for (const RosterEntry& entry : live) dead.erase(entry.node);
    Execute(updater_.OnVmList(names, roster, dead, Now()));
  }

  void Execute(RosterUpdater::Actions actions) {
    std::deque<RosterAction> pending(actions.begin(), actions.end());
    while (!pending.empty()) {
      RosterAction action = std::move(pending.front());
      pending.pop_front();
      RosterUpdater::Actions more;
      if (std::holds_alternative<ReadRoster>(action)) {
        more = updater_.OnRead(Read(), Now());
      } else if (auto* swap = std::get_if<SwapRoster>(&action)) {
        more = updater_.OnSwapped(Swap(*swap), Now());
      } else if (const auto* updated = std::get_if<LocalEntryUpdated>(&action)) {
        OnLocalEntryUpdated(updated->outcome);
      } else {
        timer_ = std::get<SetRosterTimer>(action).at;
      }
      for (RosterAction& next : more) pending.push_back(std::move(next));
    }
  }

  absl::StatusOr<StoredRoster> Read() {
    auto stored = store_.Get(kRosterKey);
    if (absl::IsNotFound(stored.status())) return StoredRoster{};
    if (!stored.ok()) {
      LogLine(LogLevel::kWarning, "cannot read the roster")
          .Field("error", ErrorText(stored.status()));
      return stored.status();
    }
    if (auto roster = DecodeRoster(stored->value); roster.ok()) {
      hooks_.on_roster(roster->revision, stored->value);
    } else {
      LogLine(LogLevel::kError, "the roster in the store cannot be decoded")
          .Field("error", ErrorText(roster.status()));
    }
    return StoredRoster{stored->version, std::move(stored->value)};
  }

  SwapResult Swap(const SwapRoster& swap) {
    std::string bytes = EncodeRoster(swap.roster);
    auto written = store_.CompareAndSwap(kRosterKey, swap.version, bytes);
    if (written.ok()) {
      hooks_.on_roster(swap.roster.revision, std::move(bytes));
      return SwapResult::kDone;
    }
    if (absl::IsAborted(written.status())) return SwapResult::kConflict;
    LogLine(LogLevel::kWarning, "cannot write the roster")
        .Field("error", ErrorText(written.status()));
    return SwapResult::kUnknown;
  }

  void OnLocalEntryUpdated(LocalEntryOutcome outcome) {
    if (outcome == LocalEntryOutcome::kAdded || outcome == LocalEntryOutcome::kReplaced) {
      joined_ = true;
      hooks_.on_local_entry_added(outcome == LocalEntryOutcome::kReplaced);
    } else if (outcome == LocalEntryOutcome::kSuperseded) {
      LogLine(LogLevel::kError, "the roster entry belongs to a later process of this node");
    }
    {
      std::lock_guard lock(mutex_);
      outcome_ = outcome;
    }
    changed_.notify_all();
  }

  Store store_;
  Vms vms_;
  const StoreAgentHooks& hooks_;
  RosterUpdater updater_;
  std::optional<TimePoint> timer_;
  TimePoint next_vm_list_;
  Revision seen_roster_revision_ = 0;
  bool joined_ = false;
  std::mutex mutex_;  // Guards the members below.
  std::condition_variable changed_;
  bool stopping_ = false;
  std::optional<LocalEntryOutcome> requested_outcome_;
  std::optional<LocalEntryOutcome> outcome_;
  std::thread thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_ROSTER_MAINTAINER_H_
