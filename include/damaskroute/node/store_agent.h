#ifndef DAMASKROUTE_NODE_STORE_AGENT_H
#define DAMASKROUTE_NODE_STORE_AGENT_H

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "damaskroute/config/config_codec.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/intent/config_log.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/roster/roster_codec.h"
#include "damaskroute/store/config_store.h"

namespace damaskroute {

/// Key of the roster in the store.
inline constexpr char kRosterKey[] = "damaskroute/roster";

/// What a `StoreAgent` tells its node. Called on the agent's threads.
struct StoreAgentHooks {
  std::function<bool()> is_reader;
  std::function<void(Revision, std::string document)> on_config;
  std::function<void(Revision, std::string document)> on_roster;
  std::function<void()> on_contact;

  /// The own seat is in the roster. `had_predecessor` says whether an earlier process of this node
  /// had a seat before.
  std::function<void(bool had_predecessor)> on_seat;
};

/// Keeps a node in touch with the store, on two threads, as the calls block: adds the node's seat
/// to the roster, and watches configuration and roster while the node is a reader. A store that is
/// down is asked again, with a pause.
template <ConfigStore Store>
class StoreAgent {
 public:
  StoreAgent(Store store, Seat seat, StoreAgentHooks hooks)
      : store_(std::move(store)), seat_(std::move(seat)), hooks_(std::move(hooks)) {}
  ~StoreAgent() { Stop(); }
  StoreAgent(const StoreAgent&) = delete;
  StoreAgent& operator=(const StoreAgent&) = delete;

  void Start() {
    config_thread_ = std::thread([this] { WatchConfig(); });
    roster_thread_ = std::thread([this] {
      TakeSeat();
      WatchRoster();
    });
  }

  /// Ends the threads; waits for a call that runs, at most its deadline.
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    if (config_thread_.joinable()) config_thread_.join();
    if (roster_thread_.joinable()) roster_thread_.join();
  }

  /// Removes the own seat, as the last step of a graceful shutdown. Call after `Stop`.
  absl::Status LeaveSeat() {
    return ChangeRoster([this](Roster& roster) {
      return std::erase_if(roster.seats, [this](const Seat& seat) {
               return seat.node == seat_.node && seat.incarnation == seat_.incarnation;
             }) > 0;
    });
  }

 private:
  static constexpr std::chrono::milliseconds kPause{500};
  static constexpr std::chrono::milliseconds kWatchTime{5000};

  bool Pause() {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, kPause, [this] { return stopping_; });
    return !stopping_;
  }

  bool stopping() {
    std::lock_guard lock(mutex_);
    return stopping_;
  }

  // Reads the roster, applies `change` and writes it, until the write has taken effect or `change`
  // returns false because there is nothing to do.
  template <typename Change>
  absl::Status ChangeRoster(Change change) {
    auto stored = store_.Get(kRosterKey);
    Roster roster;
    std::uint64_t version = 0;
    if (stored.ok()) {
      auto decoded = DecodeRoster(stored->value);
      if (!decoded.ok()) return decoded.status();
      roster = *std::move(decoded);
      version = stored->version;
    } else if (!absl::IsNotFound(stored.status())) {
      return stored.status();
    }
    if (!change(roster)) return absl::OkStatus();
    ++roster.revision;
    std::string bytes = EncodeRoster(roster);
    auto written = store_.CompareAndSwap(kRosterKey, version, bytes);
    if (!written.ok()) return written.status();
    hooks_.on_roster(roster.revision, std::move(bytes));
    return absl::OkStatus();
  }

  // A conflict or a lost answer leads to another reading, which shows whether the seat is there.
  void TakeSeat() {
    bool had_predecessor = false;
    while (!stopping()) {
      bool present = false;
      absl::Status status = ChangeRoster([&](Roster& roster) {
        auto it = std::lower_bound(
            roster.seats.begin(), roster.seats.end(), seat_.node,
            [](const Seat& seat, const NodeName& node) { return seat.node < node; });
        bool exists = it != roster.seats.end() && it->node == seat_.node;
        if (exists && *it == seat_) {
          present = true;
          return false;
        }
        if (exists) {
          had_predecessor = true;
          *it = seat_;
        } else {
          roster.seats.insert(it, seat_);
        }
        return true;
      });
      if (status.ok()) {
        if (present) LogLine(LogLevel::kInfo, "the seat is in the roster already");
        hooks_.on_seat(had_predecessor);
        return;
      }
      if (!absl::IsAborted(status)) {
        LogLine(LogLevel::kWarning, "cannot add the seat to the roster yet")
            .Field("error", ErrorText(status));
        if (!Pause()) return;
      }
    }
  }

  void WatchRoster() {
    std::uint64_t version = 0;
    while (!stopping()) {
      if (!hooks_.is_reader()) {
        if (!Pause()) return;
        continue;
      }
      auto stored = store_.Watch(kRosterKey, version, kWatchTime);
      if (stored.ok()) {
        version = stored->version;
        auto roster = DecodeRoster(stored->value);
        if (roster.ok()) hooks_.on_roster(roster->revision, stored->value);
        hooks_.on_contact();
      } else if (absl::IsDeadlineExceeded(stored.status())) {
        hooks_.on_contact();
      } else {
        version = 0;
        if (!Pause()) return;
      }
    }
  }

  void WatchConfig() {
    std::uint64_t version = 0;
    while (!stopping()) {
      if (!hooks_.is_reader()) {
        if (!Pause()) return;
        continue;
      }
      auto stored = store_.Watch(kConfigHeadKey, version, kWatchTime);
      if (stored.ok() && ReadConfig(stored->value)) {
        version = stored->version;
        hooks_.on_contact();
      } else if (absl::IsDeadlineExceeded(stored.status())) {
        hooks_.on_contact();
      } else {
        version = 0;
        if (!Pause()) return;
      }
    }
  }

  // False if the document cannot be read now.
  bool ReadConfig(const std::string& head_text) {
    auto head = DecodeHead(head_text);
    if (!head.ok() || head->entries.empty()) return false;
    auto document = ReadDocument(store_, head->entries.back());
    if (!document.ok()) {
      LogLine(LogLevel::kWarning, "cannot read the configuration")
          .Field("error", ErrorText(document.status()));
      return false;
    }
    auto bytes = EncodeConfig(*document);
    if (!bytes.ok()) return false;
    hooks_.on_config(document->revision, *std::move(bytes));
    return true;
  }

  Store store_;
  const Seat seat_;
  StoreAgentHooks hooks_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread config_thread_;
  std::thread roster_thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_AGENT_H
