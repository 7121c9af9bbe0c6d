#ifndef DAMASKROUTE_NODE_STORE_AGENT_H
#define DAMASKROUTE_NODE_STORE_AGENT_H

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "damaskroute/config/config_codec.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/intent/config_log.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/seat_keeper.h"
#include "damaskroute/node/store_agent_hooks.h"
#include "damaskroute/roster/roster_codec.h"
#include "damaskroute/store/config_store.h"

namespace damaskroute {

/// Keeps a node in touch with the platform, on three threads, as the calls block: keeps the node's
/// seat and, while the node is a reader, watches configuration and roster and keeps the seats of
/// others. A store that is down is asked again, with a pause.
template <ConfigStore Store, VmSource Vms>
class StoreAgent {
 public:
  StoreAgent(Store store, Vms vms, const RosterUpdaterOptions& options, StoreAgentHooks hooks)
      : store_(std::move(store)),
        hooks_(std::move(hooks)),
        seat_(store_, std::move(vms), options, hooks_) {}
  ~StoreAgent() { Stop(); }
  StoreAgent(const StoreAgent&) = delete;
  StoreAgent& operator=(const StoreAgent&) = delete;

  void Start() {
    config_thread_ = std::thread([this] { WatchConfig(); });
    roster_thread_ = std::thread([this] { WatchRoster(); });
    seat_.Start();
  }

  /// Ends the threads; waits for a call that runs, at most its deadline.
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    seat_.Stop();
    if (config_thread_.joinable()) config_thread_.join();
    if (roster_thread_.joinable()) roster_thread_.join();
  }

  /// The own seat, for a graceful shutdown. Valid between `Start` and `Stop`.
  SeatKeeper<Store, Vms>& seat() { return seat_; }

 private:
  static constexpr std::chrono::milliseconds kPause{500};
  static constexpr std::chrono::milliseconds kWatchTime{2000};

  bool Pause() {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, kPause, [this] { return stopping_; });
    return !stopping_;
  }

  bool stopping() {
    std::lock_guard lock(mutex_);
    return stopping_;
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
  StoreAgentHooks hooks_;
  SeatKeeper<Store, Vms> seat_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread config_thread_;
  std::thread roster_thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_AGENT_H
