#ifndef DAMASKROUTE_NODE_FORWARD_NODE_H_
#define DAMASKROUTE_NODE_FORWARD_NODE_H_

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/core/hash.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/node/forward_front.h"
#include "damaskroute/node/forward_node_settings.h"
#include "damaskroute/node/node_count.h"
#include "damaskroute/node/store_fact.h"
#include "damaskroute/relay/change_relay.h"
#include "damaskroute/relay/relay_choice.h"
#include "damaskroute/store/leased_key.h"
#include "damaskroute/store/store_feed.h"

namespace damaskroute {

/// A platform on which nodes run: the names of its headers, the format of its store, and what the
/// store's keys and values mean. It translates and decides nothing.
template <typename T>
concept NodePlatform = WatchedStoreCodec<typename T::StoreCodec> &&
    LeaseCodec<typename T::StoreCodec> &&
    requires(const T& platform, std::string_view key, const StoreItem& item) {
  { platform.Protocol() } -> std::same_as<ForwardProtocol>;
  { platform.Codec() } -> std::same_as<typename T::StoreCodec>;
  { platform.ParseKey(key) } -> std::same_as<FactKey>;
  { platform.ParseFact(item) } -> std::same_as<absl::StatusOr<StoreFact>>;
};

/// One node of the system on a platform: follows the store and serves callers, on one event loop.
template <NodePlatform Platform>
class ForwardNode {
 public:
  /// `reload` reads the settings again; it is called after SIGHUP.
  using Reload = std::function<absl::StatusOr<ForwardNodeSettings>()>;

  ForwardNode(asio::io_context& loop, const ForwardNodeSettings& settings, Platform platform,
              Reload reload)
      : platform_(std::move(platform)),
        reload_(std::move(reload)),
        front_(loop, settings, platform_.Protocol(), Hash64(settings.node)),
        node_(settings.node),
        zone_(settings.zone),
        feed_(loop, settings.store, platform_.Codec(), MakeFeedOptions(settings),
              Hash64(settings.node),
              {[this](const auto& items, bool after_outage) { OnItems(items, after_outage); },
               [this](const auto& keys, bool after_outage) { OnAllRead(keys, after_outage); },
               [this](const auto& keys) { OnOrdersRead(keys); },
               [this](bool reached) { front_.OnStoreReached(reached); },
               [this](const StorePage& page) {
                 if (relay_) relay_->OnChanges(page);
               },
               [this](std::uint64_t revision) {
                 if (relay_) relay_->OnAllRead(revision);
               }}),
        own_key_(loop, feed_.client(), settings.store, platform_.Codec(), settings.node,
                 RenderNodeRecord({settings.zone, settings.changes}), settings.node_lease,
                 Hash64(settings.node, /*seed=*/1)) {
    front_.SetStoreView({.probe = [this](auto done) { feed_.Probe(std::move(done)); },
                         .age = [this] { return feed_.age(); },
                         .followed = [this] { return Followed(); }});
    if (settings.changes) {
      relay_.emplace(loop, *settings.changes, [this] { return feed_.age(); });
    }
  }

  /// Opens the ports and begins to follow the store. Unavailable if a port is taken.
  absl::Status Start() {
    if (absl::Status status = front_.Start(); !status.ok()) return status;
    if (relay_) {
      if (absl::Status status = relay_->Start(); !status.ok()) return status;
    }
    feed_.Start();
    own_key_.Start();
    return absl::OkStatus();
  }

  /// Reads the settings again. Settings that cannot be read leave the old ones in force.
  void OnReload() {
    auto settings = reload_();
    if (!settings.ok()) {
      LogLine(LogLevel::kError, "settings not reloaded")
          .Field("error", ErrorText(settings.status()));
      return;
    }
    front_.Apply(*settings);
  }

  /// Leaves gracefully; `done` is called when the process may end.
  void Stop(std::function<void()> done) {
    if (relay_) relay_->Stop();
    front_.Stop(std::move(done));
  }

  ForwardFront& front() { return front_; }

 private:
  static TimePoint Now() { return SteadyClock().Now(); }

  void OnItems(const std::vector<StoreItem>& items, bool after_outage) {
    ForwardBeliefs& beliefs = front_.service().beliefs();
    beliefs.BeginItems(items.size());
    for (const StoreItem& item : items) {
      FactKey key = platform_.ParseKey(item.key);
      if (item.removed) {
        OnRemoved(key, after_outage);
      } else if (key.kind != FactKind::kOther) {
        OnWritten(key, item, after_outage);
      }
    }
    beliefs.EndItems();
    front_.SetClosedZones(closed_zones_);
    front_.SetNodes(nodes_.Count(Now()));
    if (!items.empty()) UpdateRelays();
    feed_.SetEager(beliefs.MissesServers(Now()));
  }

  void UpdateRelays() {
    auto relays = ChooseRelays(node_, zone_, records_);
    if (relays == feed_.relays()) return;
    feed_.SetRelays(std::move(relays));
    LogLine(LogLevel::kInfo, "followed nodes changed")
        .Field("followed", Followed())
        .Field("others", std::max<std::size_t>(feed_.relays().size(), 1) - 1)
        .Field("known_nodes", records_.size());
  }

  std::string Followed() const {
    return feed_.relays().empty() ? "the store" : FormatEndpoint(feed_.relays().front());
  }

  void OnWritten(const FactKey& key, const StoreItem& item, bool after_outage) {
    auto fact = platform_.ParseFact(item);
    if (!fact.ok()) {
      LogLine(LogLevel::kWarning, "store item not usable")
          .Field("key", item.key)
          .Field("revision", item.revision)
          .Field("error", ErrorText(fact.status()));
      // What cannot be read names no server, whatever it was before.
      if (key.kind == FactKind::kBackend) {
        front_.service().beliefs().OnBackendRemoved(key.name, after_outage);
      }
      return;
    }
    if (auto* document = std::get_if<RoutingDocument>(&*fact)) {
      front_.InstallRoutes(std::move(*document));
    } else if (auto* entry = std::get_if<BackendEntry>(&*fact)) {
      front_.service().beliefs().OnBackend(*entry);
    } else if (auto* closed = std::get_if<ClosedZone>(&*fact)) {
      closed_zones_.insert(closed->zone);
    } else if (auto* node = std::get_if<LiveNode>(&*fact)) {
      nodes_.Add(node->node);
      records_.insert_or_assign(node->node, node->record);
    }
  }

  void OnRemoved(const FactKey& key, bool after_outage) {
    if (key.kind == FactKind::kBackend) {
      front_.service().beliefs().OnBackendRemoved(key.name, after_outage);
    }
    if (key.kind == FactKind::kClosedZone) closed_zones_.erase(key.name);
    if (key.kind == FactKind::kNode) {
      nodes_.Remove(key.name, Now());
      records_.erase(key.name);
    }
  }

  void OnOrdersRead(const std::vector<std::string>& keys) {
    std::set<ZoneName> zones;
    for (const std::string& text : keys) {
      FactKey key = platform_.ParseKey(text);
      if (key.kind == FactKind::kClosedZone) zones.insert(key.name);
    }
    CloseOnly(std::move(zones));
  }

  void CloseOnly(std::set<ZoneName> zones) {
    closed_zones_ = std::move(zones);
    front_.SetClosedZones(closed_zones_);
  }

  void OnAllRead(const std::vector<std::string>& keys, bool after_outage) {
    std::set<BackendName> backends;
    std::set<ZoneName> zones;
    std::set<NodeName> nodes;
    for (const std::string& text : keys) {
      FactKey key = platform_.ParseKey(text);
      if (key.kind == FactKind::kBackend) backends.insert(key.name);
      if (key.kind == FactKind::kClosedZone) zones.insert(key.name);
      if (key.kind == FactKind::kNode) nodes.insert(key.name);
    }
    front_.service().beliefs().OnAllBackends(backends, after_outage);
    CloseOnly(std::move(zones));
    nodes_.Keep(nodes, Now());
    std::erase_if(records_, [&](const auto& entry) { return !nodes.contains(entry.first); });
    front_.SetNodes(nodes_.Count(Now()));
    UpdateRelays();
  }

  const Platform platform_;
  const Reload reload_;
  ForwardFront front_;
  std::set<ZoneName> closed_zones_;
  NodeCount nodes_;
  const NodeName node_;
  const ZoneName zone_;
  std::map<NodeName, NodeRecord> records_;  // Of the nodes whose keys are there.
  StoreFeed<typename Platform::StoreCodec> feed_;
  LeasedKey<typename Platform::StoreCodec> own_key_;
  std::optional<ChangeRelay> relay_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_NODE_H_
