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

  // Watches a key while the node is a reader. `apply` takes the value; it returns false if the
  // value cannot be taken now, and then gets it again after a pause.
  template <typename Apply>
  void WatchKey(const std::string& key, Apply apply) {
    std::uint64_t version = 0;
    while (!stopping()) {
      if (!hooks_.is_reader()) {
        if (!Pause()) return;
        continue;
      }
      auto stored = store_.Watch(key, version, kWatchTime);
      if (stored.ok() && apply(stored->value)) {
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

  void WatchRoster() {
    WatchKey(kRosterKey, [this](const std::string& value) {
      auto roster = DecodeRoster(value);
      if (roster.ok()) hooks_.on_roster(roster->revision, value);
      return true;  // A malformed roster stays so until it is written again.
    });
  }

  void WatchConfig() {
    WatchKey(kConfigHeadKey, [this](const std::string& value) { return ReadConfig(value); });
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
