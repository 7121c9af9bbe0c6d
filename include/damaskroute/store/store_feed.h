#ifndef DAMASKROUTE_STORE_STORE_FEED_H_
#define DAMASKROUTE_STORE_STORE_FEED_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/store/feed_schedule.h"
#include "damaskroute/store/store_page.h"

namespace damaskroute {

/// Wire format of a store that can be read page by page and watched.
///
/// `RenderRead` and `RenderWatch` give a whole request. `ParseRead` and `ParseWatch` read an
/// answer; OutOfRange means that the store no longer has the changes, any other error is a failed
/// call.
template <typename T>
concept WatchedStoreCodec = requires(const T& codec, const Endpoint& store,
                                     const std::string& after_key, std::uint64_t revision,
                                     std::chrono::milliseconds wait, int status,
                                     const std::string& body) {
  { codec.RenderRead(store, after_key) } -> std::same_as<std::string>;
  { codec.RenderWatch(store, revision, wait) } -> std::same_as<std::string>;
  { codec.ParseRead(status, body) } -> std::same_as<absl::StatusOr<StorePage>>;
  { codec.ParseWatch(status, body) } -> std::same_as<absl::StatusOr<StorePage>>;
};

/// What a `StoreFeed` tells its owner.
struct StoreFeedHooks {
  /// Items or changes in order. `after_outage`: what is missing may only have lapsed.
  std::function<void(const std::vector<StoreItem>&, bool after_outage)> on_items;
  /// Everything was read: these are all items there are.
  std::function<void(const std::vector<std::string>& keys, bool after_outage)> on_all_read;
  /// The store was lost, or reached again.
  std::function<void(bool reached)> on_reached;
};

/// Follows a store on an event loop: carries out the steps of `FeedSchedule`. Used on its loop
/// only.
template <WatchedStoreCodec Codec>
class StoreFeed {
 public:
  StoreFeed(asio::io_context& loop, const Endpoint& store, Codec codec, const FeedOptions& options,
            std::uint64_t seed, StoreFeedHooks hooks)
      : store_(store),
        codec_(std::move(codec)),
        schedule_(options, seed),
        hooks_(std::move(hooks)),
        client_(loop, store, kConnections, ClientOptions(options)),
        probe_client_(loop, store, /*max_connections=*/1, ProbeOptions()),
        timer_(loop) {
    probe_client_.SetMaxKept(0);
  }

  void Start() { Step(); }

  /// Finds out whether the store can be reached, by a new connection without a call. One at a time.
  void Probe(std::function<void(bool reached)> done) {
    probe_client_.OpenConnection(std::move(done));
  }

  /// The client of the store, for other calls on the same loop.
  BackendClient& client() { return client_; }

 private:
  static constexpr int kConnections = 2;

  // A connection takes one round trip, 2 to 10 ms between the zones of today's deployments.
  static constexpr std::chrono::milliseconds kProbeTimeout{400};

  static BackendClientOptions ClientOptions(const FeedOptions& options) {
    BackendClientOptions client;
    client.connect_timeout = options.watch_slack;
    // A silent connection is noticed within this time even while a watch waits.
    client.silence_timeout = options.watch_wait + options.watch_slack;
    return client;
  }

  static BackendClientOptions ProbeOptions() {
    BackendClientOptions client;
    client.connect_timeout = kProbeTimeout;
    return client;
  }

  static TimePoint Now() { return SteadyClock().Now(); }

  void Step() {
    FeedStep step = schedule_.Next(Now());
    if (step.kind == FeedStepKind::kPause) {
      timer_.expires_at(step.until);
      timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) Step();
      });
      return;
    }
    Call(step);
  }

  void Call(const FeedStep& step) {
    bool watch = step.kind == FeedStepKind::kWatch;
    ExchangeRequest request;
    request.bytes = watch ? codec_.RenderWatch(store_, step.after_revision, step.wait)
                          : codec_.RenderRead(store_, step.after_key);
    request.time_left = step.timeout;
    if (!watch && step.after_key.empty()) keys_.clear();
    client_.Start(std::move(request), [this, watch, sent = Now()](ExchangeResult result) {
      OnAnswer(watch, sent, result);
      Step();
    });
  }

  void OnAnswer(bool watch, TimePoint sent, const ExchangeResult& result) {
    TimePoint now = Now();
    bool after_outage = schedule_.just_returned(now);
    absl::StatusOr<StorePage> page = absl::UnavailableError("no answer");
    if (result.end == ExchangeEnd::kAnswered) {
      page = watch ? codec_.ParseWatch(result.status, result.body)
                   : codec_.ParseRead(result.status, result.body);
    }
    if (absl::IsOutOfRange(page.status())) {
      LogLine(LogLevel::kInfo, "store dropped its history, reading all of it");
      return schedule_.OnHistoryLost(now);
    }
    if (!page.ok()) return OnFailure(page.status(), watch, sent, now);
    if (schedule_.in_outage()) {
      LogLine(LogLevel::kInfo, "store reached again").Field("as_of", page->as_of);
      hooks_.on_reached(true);
    }
    if (watch) {
      schedule_.OnChanges(page->items.size(), page->as_of, now);
    } else {
      for (const StoreItem& item : page->items) keys_.push_back(item.key);
      std::string last = page->items.empty() ? std::string() : page->items.back().key;
      schedule_.OnPage(last, page->has_more && !page->items.empty(), page->as_of, now);
    }
    if (!page->items.empty()) {
      LogLine(LogLevel::kInfo, "store read")
          .Field("call", watch ? "watch" : "read")
          .Field("items", page->items.size())
          .Field("as_of", page->as_of)
          .Field("more", page->has_more ? "yes" : "no")
          .Field("after_outage", after_outage ? "yes" : "no");
    }
    hooks_.on_items(page->items, after_outage);
    if (!watch && !page->has_more) hooks_.on_all_read(keys_, after_outage);
  }

  void OnFailure(const absl::Status& error, bool watch, TimePoint sent, TimePoint now) {
    bool before = schedule_.in_outage();
    schedule_.OnFailure(now - sent, watch, now);
    if (schedule_.in_outage() && !before) {
      LogLine(LogLevel::kWarning, "store lost");
      hooks_.on_reached(false);
    }
    LogLine(LogLevel::kWarning, "store call failed")
        .Field("call", watch ? "watch" : "read")
        .Field("error", ErrorText(error))
        .Field("took_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(now - sent).count());
  }

  const Endpoint store_;
  const Codec codec_;
  FeedSchedule schedule_;
  const StoreFeedHooks hooks_;
  BackendClient client_;
  BackendClient probe_client_;
  asio::steady_timer timer_;
  std::vector<std::string> keys_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_FEED_H_
