#ifndef DAMASKROUTE_NODE_SEAT_KEEPER_H_
#define DAMASKROUTE_NODE_SEAT_KEEPER_H_

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

/// Reader of the platform's VM list; calls block.
template <typename T>
concept VmSource = requires(T& source) {
  { source.Read() } -> std::same_as<absl::StatusOr<VmList>>;
};

/// Carries out the actions of a `RosterUpdater` on a thread of its own, as the calls block.
template <ConfigStore Store, VmSource Vms>
class SeatKeeper {
 public:
  /// `hooks` must outlive the keeper.
  SeatKeeper(Store store, Vms vms, RosterUpdaterOptions options, const StoreAgentHooks& hooks)
      : store_(std::move(store)),
        vms_(std::move(vms)),
        hooks_(hooks),
        updater_(std::move(options)) {}
  ~SeatKeeper() { Stop(); }
  SeatKeeper(const SeatKeeper&) = delete;
  SeatKeeper& operator=(const SeatKeeper&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  /// Ends the thread; waits for a call that runs, at most its deadline.
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) thread_.join();
  }

  /// Marks the own seat as leaving; false if that is not known to have happened within `limit`.
  bool MarkLeaving(Duration limit) { return Wish(SeatOutcome::kLeaving, limit); }

  /// Removes the own seat; false if that is not known to have happened within `limit`.
  bool Leave(Duration limit) { return Wish(SeatOutcome::kRemoved, limit); }

 private:
  static constexpr std::chrono::milliseconds kMembersPeriod{500};
  static constexpr std::chrono::seconds kVmListPeriod{2};

  static TimePoint Now() { return SteadyClock().Now(); }

  bool Wish(SeatOutcome wish, Duration limit) {
    std::unique_lock lock(mutex_);
    wish_ = wish;
    outcome_.reset();
    changed_.notify_all();
    return changed_.wait_for(lock, limit, [&] { return outcome_ == wish; });
  }

  void Run() {
    Do(updater_.Join(Now()));
    TimePoint next_tick = Now();
    while (true) {
      std::optional<SeatOutcome> wish;
      {
        std::unique_lock lock(mutex_);
        TimePoint due = timer_ ? std::min(*timer_, next_tick) : next_tick;
        changed_.wait_until(lock, due, [this] { return stopping_ || wish_.has_value(); });
        if (stopping_) return;
        wish = std::exchange(wish_, std::nullopt);
      }
      if (wish == SeatOutcome::kLeaving) Do(updater_.MarkLeaving(Now()));
      if (wish == SeatOutcome::kRemoved) Do(updater_.Leave(Now()));
      if (Now() >= next_tick) {
        next_tick = Now() + kMembersPeriod;
        Tick();
      }
      if (timer_ && *timer_ <= Now()) {
        timer_.reset();
        Do(updater_.OnTimer(Now()));
      }
    }
  }

  void Tick() {
    std::shared_ptr<const Roster> roster = hooks_.roster();
    if (roster->revision > seen_roster_) {
      seen_roster_ = roster->revision;
      Do(updater_.OnRoster(*roster, Now()));
    }
    bool reader = hooks_.is_reader();
    if (!reader && joined_) return;
    std::vector<Seat> live = hooks_.live_members();
    Do(updater_.OnMembers(reader, live, Now()));
    if (reader && Now() >= next_vm_list_) {
      next_vm_list_ = Now() + kVmListPeriod;
      CheckVms(*roster, live);
    }
  }

  void CheckVms(const Roster& roster, const std::vector<Seat>& live) {
    absl::StatusOr<VmList> list = vms_.Read();
    if (!list.ok()) return;
    std::set<NodeName> names;
    for (const VmEntry& vm : list->vms) names.insert(vm.name);
    std::set<NodeName> dead;
    for (const Seat& seat : roster.seats) dead.insert(seat.node);
    for (const Seat& seat : live) dead.erase(seat.node);
    Do(updater_.OnVmList(names, roster, dead, Now()));
  }

  void Do(RosterUpdater::Actions actions) {
    std::deque<RosterAction> open(actions.begin(), actions.end());
    while (!open.empty()) {
      RosterAction action = std::move(open.front());
      open.pop_front();
      RosterUpdater::Actions more;
      if (std::holds_alternative<ReadRoster>(action)) {
        more = updater_.OnRead(Read(), Now());
      } else if (auto* swap = std::get_if<SwapRoster>(&action)) {
        more = updater_.OnSwapped(Swap(*swap), Now());
      } else if (const auto* decided = std::get_if<SeatDecided>(&action)) {
        OnDecided(decided->outcome);
      } else {
        timer_ = std::get<SetRosterTimer>(action).at;
      }
      for (RosterAction& next : more) open.push_back(std::move(next));
    }
  }

  absl::StatusOr<StoredSeats> Read() {
    auto stored = store_.Get(kRosterKey);
    if (absl::IsNotFound(stored.status())) return StoredSeats{};
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
    return StoredSeats{stored->version, std::move(stored->value)};
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

  void OnDecided(SeatOutcome outcome) {
    if (outcome == SeatOutcome::kAdded || outcome == SeatOutcome::kRenewed) {
      joined_ = true;
      hooks_.on_seat(outcome == SeatOutcome::kRenewed);
    } else if (outcome == SeatOutcome::kSuperseded) {
      LogLine(LogLevel::kError, "the seat belongs to a later process of this node");
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
  Revision seen_roster_ = 0;
  bool joined_ = false;
  std::mutex mutex_;  // Guards the members below.
  std::condition_variable changed_;
  bool stopping_ = false;
  std::optional<SeatOutcome> wish_;
  std::optional<SeatOutcome> outcome_;
  std::thread thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_SEAT_KEEPER_H_
