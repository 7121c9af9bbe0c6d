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
#include "damaskroute/node/roster_maintainer.h"
#include "damaskroute/node/store_agent_hooks.h"
#include "damaskroute/roster/roster_codec.h"
#include "damaskroute/store/config_store.h"

namespace damaskroute {

/// Connects a node to the platform on three threads, because the calls block: maintains the node's
/// roster entry and, while the node is a reader, watches configuration and roster and maintains the
/// entries of other nodes. Failed store calls are retried after a delay.
template <ConfigStore Store, VmSource Vms>
class StoreAgent {
 public:
  StoreAgent(Store store, Vms vms, const RosterUpdaterOptions& options, StoreAgentHooks hooks)
      : store_(std::move(store)),
        hooks_(std::move(hooks)),
        roster_maintainer_(store_, std::move(vms), options, hooks_) {}
  ~StoreAgent() { Stop(); }
  StoreAgent(const StoreAgent&) = delete;
  StoreAgent& operator=(const StoreAgent&) = delete;

  void Start() {
    config_thread_ = std::thread([this] { WatchConfig(); });
    roster_thread_ = std::thread([this] { WatchRoster(); });
    roster_maintainer_.Start();
  }

  /// Stops the threads; waits for calls in progress, at most until their deadlines.
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    roster_maintainer_.Stop();
    if (config_thread_.joinable()) config_thread_.join();
    if (roster_thread_.joinable()) roster_thread_.join();
  }

  /// Updates this node's roster entry during a graceful shutdown. Valid between `Start` and `Stop`.
  RosterMaintainer<Store, Vms>& roster_maintainer() { return roster_maintainer_; }

 private:
  static constexpr std::chrono::milliseconds kRetryDelay{500};
  static constexpr std::chrono::milliseconds kWatchTimeout{2000};

  bool WaitBeforeRetry() {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, kRetryDelay, [this] { return stopping_; });
    return !stopping_;
  }

  bool stopping() {
    std::lock_guard lock(mutex_);
    return stopping_;
  }

  // Watches a key while the node is a reader. `apply` handles the value; if it returns false, it is
  // called with the value again after a delay.
  template <typename Apply>
  void WatchKey(const std::string& key, Apply apply) {
    std::uint64_t version = 0;
    while (!stopping()) {
      if (!hooks_.is_reader()) {
        if (!WaitBeforeRetry()) return;
        continue;
      }
      auto stored = store_.Watch(key, version, kWatchTimeout);
      if (stored.ok() && apply(stored->value)) {
        version = stored->version;
        hooks_.on_store_contact();
      } else if (absl::IsDeadlineExceeded(stored.status())) {
        hooks_.on_store_contact();
      } else {
        version = 0;
        if (!WaitBeforeRetry()) return;
      }
    }
  }

  void WatchRoster() {
    WatchKey(kRosterKey, [this](const std::string& value) {
      auto roster = DecodeRoster(value);
      if (roster.ok()) hooks_.on_roster(roster->revision, value);
      return true;  // A malformed roster stays malformed until it is written again.
    });
  }

  void WatchConfig() {
    WatchKey(kConfigHeadKey, [this](const std::string& value) { return ReadConfig(value); });
  }

  // Returns false if the document cannot be read now.
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
  RosterMaintainer<Store, Vms> roster_maintainer_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread config_thread_;
  std::thread roster_thread_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_STORE_AGENT_H
