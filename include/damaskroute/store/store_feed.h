#ifndef DAMASKROUTE_STORE_STORE_FEED_H_
#define DAMASKROUTE_STORE_STORE_FEED_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/boot_clock.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/relay/relayed_page.h"
#include "damaskroute/store/feed_schedule.h"
#include "damaskroute/store/store_page.h"
#include "fmt/format.h"

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
  /// Changes lead up to `page.as_of`, after `on_items`.
  std::function<void(const StorePage& page)> on_changes;
  /// Everything was read as of `revision`, after `on_all_read`.
  std::function<void(std::uint64_t revision)> on_restart;
};

/// Follows a store on an event loop: carries out the steps of `FeedSchedule`. Used on its loop
/// only.
template <WatchedStoreCodec Codec>
class StoreFeed {
 public:
  StoreFeed(asio::io_context& loop, const Endpoint& store, Codec codec, const FeedOptions& options,
            std::uint64_t seed, StoreFeedHooks hooks)
      : loop_(loop),
        store_(store),
        codec_(std::move(codec)),
        schedule_(options, seed),
        hooks_(std::move(hooks)),
        client_(loop, store, kConnections, ClientOptions(options)),
        probe_client_(loop, store, /*max_connections=*/1, ProbeOptions()),
        timer_(loop) {
    probe_client_.SetMaxKept(0);
  }

  void Start() { Step(); }

  /// Nodes to follow instead of the store, in the order in which they are tried; none to follow the
  /// store. A call in progress goes on.
  void SetRelays(std::vector<Endpoint> relays) {
    relays_ = std::move(relays);
    schedule_.SetRelays(relays_.size());
  }

  /// Whether changes are awaited, from the next pause on.
  void SetEager(bool eager) {
    if (eager == schedule_.is_eager()) return;
    schedule_.SetEager(eager);
    LogLine(LogLevel::kInfo, "changes of the store awaited").Field("eagerly", eager ? "yes" : "no");
  }

  const std::vector<Endpoint>& relays() const { return relays_; }

  /// Time since the store confirmed what is known here, suspended time included.
  Duration age() const { return TimeSinceBoot() - confirmed_; }

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
    if (step.kind == FeedStepKind::kFollow) {
      Follow(step);
    } else {
      Call(step);
    }
  }

  void Follow(const FeedStep& step) {
    const Endpoint& relay = relays_[step.relay];
    std::erase_if(relay_clients_, [this](const auto& entry) {
      return std::find(relays_.begin(), relays_.end(), entry.first) == relays_.end();
    });
    auto& client = relay_clients_[relay];
    if (!client) {
      BackendClientOptions options;
      options.connect_timeout = kProbeTimeout;
      client = std::make_unique<BackendClient>(loop_, relay, /*max_connections=*/1, options);
    }
    ExchangeRequest request;
    request.bytes = fmt::format("GET /changes?after={}&wait={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                                step.after_revision, step.wait.count(), FormatEndpoint(relay));
    request.time_left = step.timeout;
    client->Start(std::move(request), [this, relay, sent = Now()](const ExchangeResult& result) {
      OnFollowed(relay, sent, result);
      Step();
    });
  }

  void OnFollowed(const Endpoint& relay, TimePoint sent, const ExchangeResult& result) {
    TimePoint now = Now();
    constexpr int kOk = 200;
    constexpr int kGone = 410;
    bool answered = result.end == ExchangeEnd::kAnswered;
    if (answered && result.status == kGone) return schedule_.OnFollowForgotten();
    absl::StatusOr<RelayedPage> relayed = absl::UnavailableError("no answer");
    if (answered && result.status == kOk) relayed = DecodeRelayedPage(result.body);
    if (!relayed.ok()) {
      LogLine(LogLevel::kWarning, "followed node lost")
          .Field("node", FormatEndpoint(relay))
          .Field("error", ErrorText(relayed.status()));
      return schedule_.OnFollowFailure(now);
    }
    bool after_outage = relayed->page.after_outage || schedule_.just_returned(now);
    Duration age = AgeOnArrival(*relayed, sent, now);
    confirmed_ = std::max(confirmed_, TimeSinceBoot() - age);
    bool was_lost = schedule_.in_outage();
    schedule_.OnFollowed(relayed->page.as_of, age, now);
    if (was_lost && !schedule_.in_outage()) {
      LogLine(LogLevel::kInfo, "store reached again through a followed node")
          .Field("as_of", relayed->page.as_of);
      hooks_.on_reached(true);
    }
    Deliver(relayed->page, after_outage, "follow");
    hooks_.on_changes(relayed->page);
  }

  void Deliver(StorePage& page, bool after_outage, const char* call) {
    if (!page.items.empty()) {
      LogLine(LogLevel::kInfo, "store read")
          .Field("call", call)
          .Field("items", page.items.size())
          .Field("as_of", page.as_of)
          .Field("more", page.has_more ? "yes" : "no")
          .Field("after_outage", after_outage ? "yes" : "no");
    }
    page.after_outage = after_outage;
    hooks_.on_items(page.items, after_outage);
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
    confirmed_ = TimeSinceBoot();
    if (watch) {
      schedule_.OnChanges(page->items.size(), page->as_of, now);
    } else {
      for (const StoreItem& item : page->items) keys_.push_back(item.key);
      std::string last = page->items.empty() ? std::string() : page->items.back().key;
      schedule_.OnPage(last, page->has_more && !page->items.empty(), page->as_of, now);
    }
    Deliver(*page, after_outage, watch ? "watch" : "read");
    if (watch) {
      hooks_.on_changes(*page);
    } else if (!page->has_more) {
      hooks_.on_all_read(keys_, after_outage);
      hooks_.on_restart(schedule_.revision());
    }
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

  asio::io_context& loop_;
  const Endpoint store_;
  const Codec codec_;
  FeedSchedule schedule_;
  const StoreFeedHooks hooks_;
  BackendClient client_;
  BackendClient probe_client_;
  asio::steady_timer timer_;
  std::vector<std::string> keys_;
  std::vector<Endpoint> relays_;
  std::map<Endpoint, std::unique_ptr<BackendClient>> relay_clients_;
  Duration confirmed_ = TimeSinceBoot();  // Since boot.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_FEED_H_
