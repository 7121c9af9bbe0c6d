#ifndef DAMASKROUTE_STORE_STORE_FEED_H_
#define DAMASKROUTE_STORE_STORE_FEED_H_

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/numbers.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/boot_clock.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/keys/configuration_age.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/relay/change_relay.h"
#include "damaskroute/relay/relayed_page.h"
#include "damaskroute/store/feed_schedule.h"
#include "damaskroute/store/store_page.h"
#include "fmt/format.h"

namespace damaskroute {

/// Wire format of a store that can be read page by page and watched.
///
/// `RenderRead`, `RenderReadDirectives` and `RenderWatch` return a complete request.
/// `RenderReadDirectives` requests the keys written by the operator, for which `IsDirective` is
/// true. `ParseEra` returns the era of the store that a response states, if any: the number of
/// times that the store was restored from an older copy, which ends the order of its revisions.
/// `ParseRead` and `ParseWatch` parse a response; OutOfRange means that the store no longer
/// has the changes, any other error is a failed call.
template <typename T>
concept WatchedStoreCodec = requires(const T& codec, const Endpoint& store,
                                     const std::string& after_key, std::uint64_t revision,
                                     std::chrono::milliseconds wait, int status,
                                     const std::string& body,
                                     const std::vector<HeaderField>& headers) {
  { codec.RenderRead(store, after_key) } -> std::same_as<std::string>;
  { codec.RenderReadDirectives(store) } -> std::same_as<std::string>;
  { codec.IsDirective(after_key) } -> std::same_as<bool>;
  { codec.RenderWatch(store, revision, wait) } -> std::same_as<std::string>;
  { codec.ParseEra(headers) } -> std::same_as<std::optional<std::uint64_t>>;
  { codec.ParseRead(status, body) } -> std::same_as<absl::StatusOr<StorePage>>;
  { codec.ParseWatch(status, body) } -> std::same_as<absl::StatusOr<StorePage>>;
};

/// Callbacks of a `StoreFeed`.
struct StoreFeedHooks {
  /// Items or changes in order. `after_outage`: missing entries may merely have expired during an
  /// outage.
  std::function<void(const std::vector<StoreItem>&, bool after_outage)> on_items;
  /// All items were read; `keys` is the complete list.
  std::function<void(const std::vector<std::string>& keys, bool after_outage)> on_full_read;
  /// The operator directives were read; `keys` is the complete list. Called after `on_items`.
  std::function<void(const std::vector<std::string>& keys)> on_directives_read;
  /// The store became unreachable, or is reachable again.
  std::function<void(bool reached)> on_reachability_changed;
  /// Changes up to revision `page.as_of` were received. Called after `on_items`.
  std::function<void(const StorePage& page)> on_changes;
  /// All items were read as of `revision` of an era. Called after `on_full_read`.
  std::function<void(std::uint64_t revision, std::uint64_t era)> on_resync;
  /// The store was restored from an older copy, which began an era. All items are read afterwards.
  std::function<void(std::uint64_t era)> on_restored;
  /// The delivered changes may be certain to be complete until a later time. Called after
  /// `on_changes`; may be empty.
  std::function<void()> on_certain;
};

/// Follows a store on an event loop: executes the steps of `FeedSchedule`. The changes that it
/// delivers are the feed, which other nodes may follow. Used on its loop only.
template <WatchedStoreCodec Codec>
class StoreFeed {
 public:
  StoreFeed(asio::io_context& loop, const Endpoint& store, Codec codec, const FeedOptions& options,
            std::uint64_t seed, StoreFeedHooks hooks)
      : loop_(loop),
        store_(store),
        codec_(std::move(codec)),
        options_(options),
        schedule_(options, seed),
        hooks_(std::move(hooks)),
        client_(loop, store, kConnections, ClientOptions(options)),
        probe_client_(loop, store, /*max_connections=*/1, ProbeOptions()),
        timer_(loop) {
    probe_client_.SetMaxIdleConnections(0);
  }

  void Start() { Step(); }

  /// Whether the newest configuration in the items is usable; see `ConfigurationAge`.
  void SetConfigurationUsable(bool usable) {
    changes_age_.SetUsable(usable);
    directives_age_.SetUsable(usable);
  }

  /// Whether the age of the configuration has to stay below `FeedOptions::max_configuration_age`.
  void SetConfigurationAgeLimited(bool limited) { age_limited_ = limited; }

  /// Age of the configuration; nullopt if it is unknown. See `ConfigurationAge`.
  std::optional<Duration> configuration_age() const {
    Duration now = TimeSinceBoot();
    auto by_changes = changes_age_.At(now);
    auto by_directives = directives_age_.At(now);
    if (!by_changes || !by_directives) return by_changes ? by_changes : by_directives;
    return std::min(*by_changes, *by_directives);
  }

  /// Time since boot until which the changes delivered to `on_changes` are certain to be complete;
  /// nullopt if it is unknown.
  std::optional<Duration> changes_certain_until() const { return changes_age_.certain_until(); }

  /// Sets the nodes to follow instead of the store, in the order in which they are tried; empty to
  /// follow the store. A call in progress continues.
  void SetRelays(std::vector<Endpoint> relays) {
    relays_ = std::move(relays);
    schedule_.SetRelays(relays_.size());
  }

  /// Whether changes are expected soon. Takes effect from the next pause on.
  void SetEager(bool eager) {
    if (eager == schedule_.is_eager()) return;
    schedule_.SetEager(eager);
    LogLine(LogLevel::kInfo, "changes of the store awaited").Field("eagerly", eager ? "yes" : "no");
  }

  const std::vector<Endpoint>& relays() const { return relays_; }

  /// Time since the store confirmed the state known here, including time while suspended.
  Duration age() const { return TimeSinceBoot() - confirmed_at_; }

  /// Checks whether the store can be reached by opening a new connection, without a call. At most
  /// one probe may be in progress.
  void Probe(std::function<void(bool reached)> done) {
    probe_client_.OpenConnection(std::move(done));
  }

  /// The client of the store, for other calls on the same loop.
  BackendClient& client() { return client_; }

 private:
  // A call to the store.
  struct StoreCall {
    FeedStepKind kind = FeedStepKind::kRead;
    std::chrono::milliseconds wait{};
    std::chrono::milliseconds timeout{};
    TimePoint sent;
    Duration sent_since_boot{};
    bool connected = false;  // Whether it opened a connection.
  };

  // A request to a followed node.
  struct FollowCall {
    std::uint64_t after_revision = 0;
    TimePoint sent;
    Duration sent_since_boot{};
    bool needs_recent = false;  // Asks for the age of the configuration.
  };

  static constexpr int kConnections = 2;

  // Opening a connection takes one round trip, 2 to 10 ms between zones.
  static constexpr std::chrono::milliseconds kProbeTimeout{400};

  static BackendClientOptions ClientOptions(const FeedOptions& options) {
    BackendClientOptions client;
    client.keep_headers = true;
    client.connect_timeout = options.watch_slack;
    // An unresponsive connection is detected within this time even while a watch is pending.
    client.unresponsive_timeout = options.watch_wait + options.watch_slack;
    return client;
  }

  static BackendClientOptions ProbeOptions() {
    BackendClientOptions client;
    client.connect_timeout = kProbeTimeout;
    return client;
  }

  // A longer age, which no node states, would overflow.
  static constexpr std::chrono::microseconds kMaxStatedAge = std::chrono::hours(24 * 365);

  static TimePoint Now() { return SteadyClock().Now(); }

  // Whether a response has to prove that the configuration is recent.
  bool NeedsRecentConfiguration() const {
    return age_limited_ && options_.max_configuration_age.count() > 0 && changes_age_.is_usable();
  }

  std::optional<TimePoint> RefreshBy() const {
    if (!NeedsRecentConfiguration()) return std::nullopt;
    auto age = configuration_age();
    return age ? Now() + options_.max_configuration_age - *age : TimePoint();
  }

  void Step() {
    schedule_.SetRefreshBy(RefreshBy());
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
      options.keep_headers = options_.max_configuration_age.count() > 0;
      client = std::make_unique<BackendClient>(loop_, relay, /*max_connections=*/1, options);
    }
    ExchangeRequest request;
    bool needs_recent = NeedsRecentConfiguration();
    request.bytes =
        fmt::format("GET /changes?era={}&after={}&wait={}{} HTTP/1.1\r\nHost: {}\r\n\r\n",
                    schedule_.era(), step.after_revision, step.wait.count(),
                    needs_recent ? "&certain=1" : "", FormatEndpoint(relay));
    request.time_left = step.timeout;
    follow_ = {step.after_revision, Now(), TimeSinceBoot(), needs_recent};
    client->Start(std::move(request), [this, relay](const ExchangeResult& result) {
      OnRelayChanges(relay, follow_, result);
      Step();
    });
  }

  // After an unanswered call, idle connections may be as unresponsive as the one that it used, and
  // one call would be lost on each.
  void CloseIdleConnectionsIfUnanswered(const ExchangeResult& result) {
    if (result.end != ExchangeEnd::kTimedOut && result.end != ExchangeEnd::kConnectionLost) return;
    client_.CloseIdleConnections();
    for (auto& [relay, client] : relay_clients_) client->CloseIdleConnections();
  }

  // Age of the followed node's configuration when the request reached it; nullopt if it states
  // none, as nodes of earlier versions.
  static std::optional<Duration> StatedAge(const ExchangeResult& result) {
    std::string_view text = HeaderValue(result.headers, kConfigurationAgeHeader);
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number)) {
      return std::nullopt;
    }
    std::chrono::microseconds age(number);
    if (age < -kMaxStatedAge || age > kMaxStatedAge) return std::nullopt;
    return age;
  }

  // Whether the configuration of a followed node is recent enough to follow the node further.
  bool IsRecentEnough(const FollowCall& call, std::optional<Duration> stated) const {
    if (!call.needs_recent) return true;
    return stated && TimeSinceBoot() - call.sent_since_boot + *stated <=
                         options_.max_configuration_age - options_.slow_call;
  }

  void OnRelayChanges(const Endpoint& relay, const FollowCall& call, const ExchangeResult& result) {
    CloseIdleConnectionsIfUnanswered(result);
    TimePoint now = Now();
    constexpr int kOk = 200;
    constexpr int kGone = 410;
    bool answered = result.end == ExchangeEnd::kAnswered;
    if (answered && result.status == kGone) return schedule_.OnRelayHistoryLost();
    absl::StatusOr<RelayedPage> relayed = absl::UnavailableError(ExchangeEndName(result.end));
    if (answered && result.status == kOk) relayed = DecodeRelayedPage(result.body);
    if (!relayed.ok()) {
      LogLine(LogLevel::kWarning, "followed node lost")
          .Field("node", FormatEndpoint(relay))
          .Field("error", ErrorText(relayed.status()));
      return schedule_.OnRelayFailure(now);
    }
    if (relayed->page.era != schedule_.era()) return schedule_.OnRelayHistoryLost();
    bool after_outage = relayed->page.after_outage || schedule_.is_recovering(now);
    Duration age = AgeOnArrival(*relayed, call.sent, now);
    std::optional<Duration> stated = StatedAge(result);
    confirmed_at_ = std::max(confirmed_at_, TimeSinceBoot() - age);
    bool was_lost = schedule_.in_outage();
    schedule_.OnRelayChanges(relayed->page.as_of, age, now, IsRecentEnough(call, stated));
    if (was_lost && !schedule_.in_outage()) {
      LogLine(LogLevel::kInfo, "store reached again through a followed node")
          .Field("as_of", relayed->page.as_of);
      hooks_.on_reachability_changed(true);
    }
    if (!relayed->page.items.empty()) {
      LogLine(LogLevel::kInfo, "changes read from a followed node")
          .Field("node", FormatEndpoint(relay))
          .Field("after", call.after_revision)
          .Field("as_of", relayed->page.as_of);
    }
    DeliverChanges(relayed->page, after_outage, "follow");
    if (stated) changes_age_.OnFollowedNode(call.sent_since_boot, *stated, TimeSinceBoot());
    hooks_.on_changes(relayed->page);
    if (hooks_.on_certain) hooks_.on_certain();
  }

  // Whether `item` is a directive that is not newer than the last read of all directives.
  bool IsOutdated(const StoreItem& item) const {
    return item.revision <= directives_as_of_ && codec_.IsDirective(item.key);
  }

  void DeliverChanges(StorePage& page, bool after_outage, const char* call) {
    bool outdated = std::any_of(page.items.begin(), page.items.end(),
                                [this](const StoreItem& item) { return IsOutdated(item); });
    if (!outdated) return Deliver(page, after_outage, call);
    page.after_outage = after_outage;
    StorePage current = page;  // Followers of this node still need all changes.
    std::erase_if(current.items, [this](const StoreItem& item) { return IsOutdated(item); });
    Deliver(current, after_outage, call);
  }

  void Deliver(StorePage& page, bool after_outage, const char* call) {
    if (!page.items.empty()) {
      LogLine(LogLevel::kInfo, "store read")
          .Field("call", call)
          .Field("era", schedule_.era())
          .Field("items", page.items.size())
          .Field("as_of", page.as_of)
          .Field("more", page.has_more ? "yes" : "no")
          .Field("after_outage", after_outage ? "yes" : "no");
    }
    page.after_outage = after_outage;
    hooks_.on_items(page.items, after_outage);
  }

  static const char* CallName(FeedStepKind kind) {
    if (kind == FeedStepKind::kReadDirectives) return "read orders";
    return kind == FeedStepKind::kWatch ? "watch" : "read";
  }

  std::string Render(const FeedStep& step) const {
    if (step.kind == FeedStepKind::kReadDirectives) return codec_.RenderReadDirectives(store_);
    if (step.kind == FeedStepKind::kWatch) {
      return codec_.RenderWatch(store_, step.after_revision, step.wait);
    }
    return codec_.RenderRead(store_, step.after_key);
  }

  void Call(const FeedStep& step) {
    ExchangeRequest request;
    request.bytes = Render(step);
    request.time_left = step.timeout;
    if (step.kind == FeedStepKind::kRead && step.after_key.empty()) keys_.clear();
    call_ = {.kind = step.kind,
             .wait = step.wait,
             .timeout = step.timeout,
             .sent = Now(),
             .sent_since_boot = TimeSinceBoot()};
    if (step.kind == FeedStepKind::kRead && step.after_key.empty()) {
      read_began_ = call_.sent_since_boot;
    }
    std::uint64_t connects = client_.connect_count();
    client_.Start(std::move(request), [this](const ExchangeResult& result) {
      OnStoreResponse(result);
      Step();
    });
    call_.connected = client_.connect_count() > connects;
  }

  void OnStoreResponse(const ExchangeResult& result) {
    CloseIdleConnectionsIfUnanswered(result);
    bool watch = call_.kind == FeedStepKind::kWatch;
    TimePoint now = Now();
    bool after_outage = schedule_.is_recovering(now);
    switch (OnEra(codec_.ParseEra(result.headers), now)) {
      case FeedSchedule::EraOrder::kCurrent:
        break;
      case FeedSchedule::EraOrder::kNew:
        return OnRestored();
      case FeedSchedule::EraOrder::kOutdated:
        return OnFailure(absl::AbortedError("the response is from before the store was restored"),
                         now);
    }
    absl::StatusOr<StorePage> page = absl::UnavailableError(ExchangeEndName(result.end));
    if (result.end == ExchangeEnd::kAnswered) {
      page = watch ? codec_.ParseWatch(result.status, result.body)
                   : codec_.ParseRead(result.status, result.body);
    }
    if (absl::IsOutOfRange(page.status())) {
      LogLine(LogLevel::kInfo, "store dropped its history, reading all of it");
      return schedule_.OnHistoryLost(now);
    }
    if (!page.ok()) return OnFailure(page.status(), now);
    if (schedule_.in_outage()) {
      LogLine(LogLevel::kInfo, "store reached again").Field("as_of", page->as_of);
      hooks_.on_reachability_changed(true);
    }
    if (call_.kind == FeedStepKind::kReadDirectives) return OnDirectives(*page, after_outage, now);
    if (watch) return OnChanges(*page, after_outage, now);
    OnPage(*page, after_outage, now);
  }

  // A response without an era is taken to be of the current one.
  FeedSchedule::EraOrder OnEra(std::optional<std::uint64_t> era, TimePoint now) {
    return era ? schedule_.OnEra(*era, now) : FeedSchedule::EraOrder::kCurrent;
  }

  void OnRestored() {
    LogLine(LogLevel::kWarning, "store restored from an older copy, reading all of it")
        .Field("era", schedule_.era());
    directives_as_of_ = 0;
    hooks_.on_restored(schedule_.era());
  }

  void OnChanges(StorePage& page, bool after_outage, TimePoint now) {
    BatchSize batch{page.items.size(), 0};
    for (const StoreItem& item : page.items) batch.bytes += item.key.size() + item.value.size();
    schedule_.OnChanges(batch, page.as_of, now);
    if (!schedule_.is_behind()) confirmed_at_ = TimeSinceBoot();
    DeliverChanges(page, after_outage, CallName(FeedStepKind::kWatch));
    // A page that is not the last one does not show the current configuration.
    if (!schedule_.is_behind() && page.items.empty()) {
      changes_age_.OnNoChanges(call_.sent_since_boot, call_.wait, TimeSinceBoot());
    } else if (!schedule_.is_behind()) {
      changes_age_.OnChanges(call_.sent_since_boot);
    }
    hooks_.on_changes(page);
    if (hooks_.on_certain) hooks_.on_certain();
  }

  void OnPage(StorePage& page, bool after_outage, TimePoint now) {
    confirmed_at_ = TimeSinceBoot();
    for (const StoreItem& item : page.items) keys_.push_back(item.key);
    std::string last = page.items.empty() ? std::string() : page.items.back().key;
    schedule_.OnPage(last, page.has_more && !page.items.empty(), page.as_of, now);
    Deliver(page, after_outage, CallName(FeedStepKind::kRead));
    if (page.has_more) return;
    hooks_.on_full_read(keys_, after_outage);
    // The pages after the first one are newer, and the changes are watched from the first one on.
    changes_age_.OnChanges(read_began_);
    hooks_.on_resync(schedule_.revision(), schedule_.era());
  }

  void OnDirectives(StorePage& page, bool after_outage, TimePoint now) {
    schedule_.OnDirectives(now);
    Deliver(page, after_outage, CallName(FeedStepKind::kReadDirectives));
    // Without the further pages, removed keys cannot be determined.
    if (page.has_more) return;
    directives_as_of_ = page.as_of;
    std::vector<std::string> keys;
    for (const StoreItem& item : page.items) keys.push_back(item.key);
    hooks_.on_directives_read(keys);
    directives_age_.OnChanges(call_.sent_since_boot);
  }

  void OnFailure(const absl::Status& error, TimePoint now) {
    bool before = schedule_.in_outage();
    schedule_.OnFailure(now - call_.sent - call_.wait, now);
    if (schedule_.in_outage() && !before) {
      LogLine(LogLevel::kWarning, "store lost");
      hooks_.on_reachability_changed(false);
    }
    LogLine(LogLevel::kWarning, "store call failed")
        .Field("call", CallName(call_.kind))
        .Field("error", ErrorText(error))
        .Field("took_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(now - call_.sent).count())
        .Field("timeout_ms", call_.timeout.count())
        .Field("connection", call_.connected ? "new" : "reused")
        .Field("failures", schedule_.failures())
        .Field("retry_ms", RetryDelay(now).count());
  }

  std::chrono::milliseconds RetryDelay(TimePoint now) const {
    FeedStep next = schedule_.Next(now);
    if (next.kind != FeedStepKind::kPause) return {};
    return std::chrono::ceil<std::chrono::milliseconds>(next.until - now);
  }

  asio::io_context& loop_;
  const Endpoint store_;
  const Codec codec_;
  const FeedOptions options_;
  FeedSchedule schedule_;
  const StoreFeedHooks hooks_;
  BackendClient client_;
  StoreCall call_;     // In progress, or the last one.
  FollowCall follow_;  // The same, to a followed node.
  BackendClient probe_client_;
  asio::steady_timer timer_;
  std::vector<std::string> keys_;
  std::vector<Endpoint> relays_;
  std::map<Endpoint, std::unique_ptr<BackendClient>> relay_clients_;
  Duration confirmed_at_ = TimeSinceBoot();  // Time of the confirmation, since boot.
  std::uint64_t directives_as_of_ = 0;       // Revision at which the directives were read.
  Duration read_began_{};                    // When the first page of a read was requested.
  bool age_limited_ = false;
  ConfigurationAge changes_age_;     // Of the changes that `on_changes` delivers.
  ConfigurationAge directives_age_;  // Of the directives that were read ahead of changes.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_STORE_FEED_H_
