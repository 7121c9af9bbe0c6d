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
#include "damaskroute/node/crash_record_store.h"
#include "damaskroute/node/forward_node_settings.h"
#include "damaskroute/node/forward_server.h"
#include "damaskroute/node/node_count.h"
#include "damaskroute/node/quota_exchange.h"
#include "damaskroute/node/rollout_store.h"
#include "damaskroute/node/store_entry.h"
#include "damaskroute/relay/change_relay.h"
#include "damaskroute/relay/relay_choice.h"
#include "damaskroute/store/leased_key.h"
#include "damaskroute/store/store_feed.h"

namespace damaskroute {

/// Adapter of a platform on which nodes run: the names of its headers, the format of its store, and
/// the meaning of the store's keys and values. It only translates and makes no decisions.
template <typename T>
concept NodePlatform = WatchedStoreCodec<typename T::StoreCodec> &&
    LeaseCodec<typename T::StoreCodec> && RolloutCodec<typename T::StoreCodec> &&
    requires(const T& platform, std::string_view key, const StoreItem& item) {
  { platform.Protocol() } -> std::same_as<ForwardProtocol>;
  { platform.Codec() } -> std::same_as<typename T::StoreCodec>;
  { platform.ParseKey(key) } -> std::same_as<StoreEntryKey>;
  { platform.ParseStoreEntry(item) } -> std::same_as<absl::StatusOr<StoreEntry>>;
};

/// One node of the system on a platform: follows the store and serves callers on one event loop.
template <NodePlatform Platform>
class ForwardNode {
 public:
  /// `reload` reads the settings; it is called by `OnReload`.
  using Reload = std::function<absl::StatusOr<ForwardNodeSettings>()>;

  ForwardNode(asio::io_context& loop, const ForwardNodeSettings& settings, Platform platform,
              Reload reload)
      : platform_(std::move(platform)),
        reload_(std::move(reload)),
        forward_server_(loop, settings, platform_.Protocol(), Hash64(settings.node)),
        node_(settings.node),
        zone_(settings.zone),
        bounds_revocation_(settings.revocation_bound.has_value()),
        feed_(loop, settings.store, platform_.Codec(), MakeFeedOptions(settings),
              Hash64(settings.node),
              {[this](const auto& items, bool after_outage) { OnItems(items, after_outage); },
               [this](const auto& keys, bool after_outage) { OnAllRead(keys, after_outage); },
               [this](const auto& keys) { OnDirectivesRead(keys); },
               [this](bool reached) { forward_server_.OnStoreReached(reached); },
               [this](const StorePage& page) {
                 if (relay_) relay_->OnChanges(page);
               },
               [this](std::uint64_t revision, std::uint64_t era) {
                 if (relay_) relay_->OnAllRead(revision, era);
               },
               [this](std::uint64_t era) {
                 configuration_revision_.reset();
                 unusable_revision_ = 0;
                 state().OnStoreRestored();
                 rollouts_.OnStoreRestored();
                 node_key_.OnStoreEra(era);
               },
               [this] {
                 if (relay_) relay_->OnCertain();
               }}),
        node_key_(loop, feed_.client(), settings.store, platform_.Codec(), settings.node,
                  RenderNodeRecord(
                      {settings.zone, settings.changes, settings.peers, settings.quota_port}),
                  settings.node_lease, Hash64(settings.node, /*seed=*/1)),
        crash_records_(loop, feed_.client(), settings.store, platform_.Codec(),
                       forward_server_.service().crash_guard(), Hash64(settings.node, /*seed=*/2)),
        rollouts_(loop, feed_.client(), settings.store, platform_.Codec(), settings.node,
                  forward_server_.service(),
                  {.store_age = [this] { return feed_.age(); },
                   .on_item = [this](const StoreItem& item) { OnRolloutItem(item); },
                   .on_urgency_changed = [this] { UpdateEagerness(); }}) {
    forward_server_.service().rollouts().SetOptions(
        MakeRolloutOptions(settings, MakeFeedOptions(settings)));
    forward_server_.SetStoreView({.probe = [this](auto done) { feed_.Probe(std::move(done)); },
                                  .age = [this] { return feed_.age(); },
                                  .configuration_age = [this] { return feed_.configuration_age(); },
                                  .followed = [this] { return Followed(); }});
    forward_server_.service().SetOnCrashRecords([this] { crash_records_.Update(); });
    if (settings.changes) {
      relay_.emplace(
          loop, *settings.changes, [this] { return feed_.age(); }, forward_server_.relay_limits());
      relay_->SetCertainUntil([this] { return feed_.changes_certain_until(); });
    }
    if (settings.quota && settings.quota_port) {
      quotas_.emplace(loop, node_, *settings.quota_port, MakeQuotaIncarnation(node_),
                      MakeQuotaOptions(*settings.quota, settings.config_bound),
                      [this] { return QuotaView(); });
      forward_server_.service().SetQuotas(&*quotas_);
    } else if (settings.quota) {
      LogLine(LogLevel::kWarning, "quotas not applied: no port for them");
    }
  }

  // Requests that end while the node is destroyed return no tokens.
  ~ForwardNode() { forward_server_.service().SetQuotas(nullptr); }
  ForwardNode(const ForwardNode&) = delete;
  ForwardNode& operator=(const ForwardNode&) = delete;

  /// Opens the ports and begins to follow the store. Returns Unavailable if a port is in use.
  absl::Status Start() {
    if (absl::Status status = forward_server_.Start(); !status.ok()) return status;
    if (relay_) {
      if (absl::Status status = relay_->Start(); !status.ok()) return status;
    }
    if (quotas_) {
      if (absl::Status status = quotas_->Start(); !status.ok()) return status;
    }
    feed_.Start();
    // With quotas, the first read shows whether a predecessor has written the node's key.
    if (!quotas_) StartNodeKey();
    return absl::OkStatus();
  }

  /// Reloads the settings, after SIGHUP. If they cannot be read, the old ones stay in effect.
  void OnReload() {
    auto settings = reload_();
    if (!settings.ok()) {
      LogLine(LogLevel::kError, "settings not reloaded")
          .Field("error", ErrorText(settings.status()));
      return;
    }
    forward_server_.Apply(*settings);
  }

  /// Shuts down gracefully; `done` is called when the process may exit.
  void Stop(std::function<void()> done) {
    if (relay_) relay_->Stop();
    if (quotas_) quotas_->Leave();
    forward_server_.Stop(std::move(done));
  }

  ForwardServer& forward_server() { return forward_server_; }

 private:
  static TimePoint Now() { return SteadyClock().Now(); }

  ForwardingState& state() { return forward_server_.service().forwarding_state(); }

  void OnItems(const std::vector<StoreItem>& items, bool after_outage) {
    ForwardingState& forwarding_state = state();
    forwarding_state.BeginBatch(items.size());
    for (const StoreItem& item : items) {
      StoreEntryKey key = platform_.ParseKey(item.key);
      if (item.removed) {
        OnRemoved(key, item.revision, after_outage);
      } else if (key.kind != StoreEntryKind::kOther) {
        OnWritten(key, item, after_outage);
      }
    }
    forwarding_state.EndBatch();
    ApplyNodes();
    if (!items.empty()) OnNodesChanged();
    rollouts_.OnBackendsChanged();
    UpdateEagerness();
  }

  void UpdateEagerness() {
    feed_.SetEager(state().ExpectsReturningServers(Now()) || rollouts_.IsUrgent());
  }

  // A key of a rollout as it is now, from a response to a conditional write.
  void OnRolloutItem(const StoreItem& item) {
    StoreEntryKey key = platform_.ParseKey(item.key);
    if (key.kind != StoreEntryKind::kRolloutRecord && key.kind != StoreEntryKind::kRolloutReport) {
      return;  // Orders come in their order from the feed.
    }
    if (!item.removed) return OnWritten(key, item, /*after_outage=*/false);
    if (key.kind == StoreEntryKind::kRolloutReport) {
      rollouts_.OnOwnReportMissing(key.name);
    }
  }

  void StartNodeKey() {
    if (std::exchange(node_key_started_, true)) return;
    node_key_.Start();
  }

  void ApplyNodes() {
    TimePoint now = Now();
    forward_server_.SetNodes(nodes_.Count(now));
    std::vector<NodeName> names = nodes_.Counted(now);
    forward_server_.service().crash_guard().SetNodes(node_, names);
    state().SetNodeNames(std::move(names));
    ApplyNodesToRollouts(now);
  }

  void ApplyNodesToRollouts(TimePoint now) {
    std::set<NodeName> live;
    for (const auto& [name, record] : node_records_) live.insert(name);
    forward_server_.service().rollouts().SetNodes(live, nodes_.Counted(now));
  }

  void OnNodesChanged() {
    UpdatePeers();
    UpdateRelays();
    if (quotas_) quotas_->Refresh();
  }

  QuotaExchange::View QuotaView() const {
    QuotaExchange::View view{nodes_.Counted(Now()), {}, feed_.age(), key_found_};
    for (const auto& [name, record] : node_records_) {
      if (record.quota_endpoint) view.endpoints.emplace(name, *record.quota_endpoint);
    }
    return view;
  }

  void UpdatePeers() {
    std::vector<Peer> peers;
    for (const auto& [name, record] : node_records_) {
      if (name != node_ && record.peer_endpoint) {
        peers.push_back({name, record.zone, *record.peer_endpoint});
      }
    }
    forward_server_.SetPeers(std::move(peers));
  }

  void UpdateRelays() {
    auto relays = ChooseRelays(node_, zone_, node_records_);
    if (relays == feed_.relays()) return;
    feed_.SetRelays(std::move(relays));
    LogLine(LogLevel::kInfo, "followed nodes changed")
        .Field("followed", Followed())
        .Field("others", std::max<std::size_t>(feed_.relays().size(), 1) - 1)
        .Field("known_nodes", node_records_.size());
  }

  std::string Followed() const {
    return feed_.relays().empty() ? "the store" : FormatEndpoint(feed_.relays().front());
  }

  void OnWritten(const StoreEntryKey& key, const StoreItem& item, bool after_outage) {
    auto store_entry = platform_.ParseStoreEntry(item);
    if (!store_entry.ok()) {
      if (key.kind == StoreEntryKind::kRouting) {
        return OnUnusableConfiguration(item, store_entry.status());
      }
      LogUnusable(item, store_entry.status());
      // An entry that cannot be decoded counts as removed.
      if (key.kind == StoreEntryKind::kBackend) {
        state().OnBackendRemoved(key.name, after_outage);
      }
      if (key.kind == StoreEntryKind::kRolloutOrder) {
        rollouts_.OnOrderUnusable(key.name, item.revision);
      }
      return;
    }
    if (auto* document = std::get_if<RoutingDocument>(&*store_entry)) {
      Revision version = document->version;
      bool installed = forward_server_.InstallRoutes(std::move(*document));
      if (IsWronglyNumbered(item, version, installed)) {
        return OnUnusableConfiguration(
            item, absl::FailedPreconditionError(
                      "the version is not newer than that of another configuration in effect"));
      }
      feed_.SetConfigurationUsable(true);
      feed_.SetConfigurationAgeLimited(state().routes()->keys().is_configured());
      if (quotas_ && state().routes()) quotas_->SetTenants(state().routes()->document().tenants);
    } else if (auto* entry = std::get_if<BackendEntry>(&*store_entry)) {
      state().OnBackend(*entry);
    } else if (auto* closed = std::get_if<ClosedZone>(&*store_entry)) {
      state().OnZoneClosed(closed->zone, item.revision);
    } else if (auto* node = std::get_if<LiveNode>(&*store_entry)) {
      if (node->node == node_ && !node_key_started_) key_found_ = true;
      nodes_.Add(node->node);
      node_records_.insert_or_assign(node->node, node->record);
    } else if (auto* crash = std::get_if<StoredCrashRecord>(&*store_entry)) {
      OnCrashRecord(key, item, crash->page);
    } else if (auto* order = std::get_if<RolloutOrder>(&*store_entry)) {
      rollouts_.OnOrder(key.name, *order, item.revision);
    } else if (auto* record = std::get_if<RolloutRecord>(&*store_entry)) {
      rollouts_.OnRecord(key.name, *record, item.revision);
    } else if (auto* report = std::get_if<RolloutReport>(&*store_entry)) {
      rollouts_.OnReport(key.name, key.node, *report, item.revision);
    }
  }

  void OnCrashRecord(const StoreEntryKey& key, const StoreItem& item, const std::string& page) {
    if (absl::Status status = crash_records_.OnStored(key.name, page); !status.ok()) {
      LogUnusable(item, status);
    }
  }

  // Whether a configuration that was written after the one in effect, and differs from it, was not
  // installed because of its version. It may have been meant to withdraw keys. After a restore, the
  // first configuration of the new era may have a lower version, as it is that of the older copy.
  bool IsWronglyNumbered(const StoreItem& item, Revision version, bool installed) {
    if (!bounds_revocation_ || !state().routes()) return false;
    std::uint64_t hash = Hash64(item.value);
    if (installed) {
      configuration_hash_ = hash;
      configuration_revision_ = item.revision;
      return false;
    }
    bool has_keys = state().routes()->keys().is_configured();
    bool is_same_version = version == state().routes_version();
    if (has_keys && is_same_version && hash != configuration_hash_) return true;
    if (!configuration_revision_) configuration_revision_ = item.revision;
    bool is_later = item.revision > *configuration_revision_;
    if (has_keys && !is_same_version && is_later) return true;
    if (is_same_version && is_later) configuration_revision_ = item.revision;
    return false;
  }

  // The last usable configuration stays in effect. Its age grows from now on, as the newer one may
  // have been meant to withdraw keys.
  void OnUnusableConfiguration(const StoreItem& item, const absl::Status& error) {
    feed_.SetConfigurationUsable(false);
    if (std::exchange(unusable_revision_, item.revision) == item.revision) return;
    LogLine(LogLevel::kError, "configuration not usable, the last one stays in effect")
        .Field("key", item.key)
        .Field("revision", item.revision)
        .Field("version", state().routes_version())
        .Field("error", ErrorText(error));
  }

  static void LogUnusable(const StoreItem& item, const absl::Status& error) {
    LogLine(LogLevel::kWarning, "store item not usable")
        .Field("key", item.key)
        .Field("revision", item.revision)
        .Field("error", ErrorText(error));
  }

  void OnRemoved(const StoreEntryKey& key, std::uint64_t revision, bool after_outage) {
    // There is no newer configuration than the last usable one.
    if (key.kind == StoreEntryKind::kRouting) feed_.SetConfigurationUsable(true);
    if (key.kind == StoreEntryKind::kRolloutOrder) rollouts_.OnOrderRemoved(key.name);
    if (key.kind == StoreEntryKind::kRolloutRecord) rollouts_.OnRecordRemoved(key.name, revision);
    if (key.kind == StoreEntryKind::kRolloutReport) rollouts_.OnReportRemoved(key.name, key.node);
    if (key.kind == StoreEntryKind::kBackend) {
      state().OnBackendRemoved(key.name, after_outage);
    }
    if (key.kind == StoreEntryKind::kClosedZone) {
      state().OnZoneOpened(key.name);
    }
    if (key.kind == StoreEntryKind::kNode) {
      nodes_.Remove(key.name, Now());
      node_records_.erase(key.name);
    }
  }

  void OnDirectivesRead(const std::vector<std::string>& keys) {
    std::set<ZoneName> zones;
    std::set<ServiceName> orders;
    bool has_configuration = false;
    for (const std::string& text : keys) {
      StoreEntryKey key = platform_.ParseKey(text);
      if (key.kind == StoreEntryKind::kRouting) has_configuration = true;
      if (key.kind == StoreEntryKind::kClosedZone) zones.insert(key.name);
      if (key.kind == StoreEntryKind::kRolloutOrder) orders.insert(key.name);
    }
    if (!has_configuration) feed_.SetConfigurationUsable(true);
    state().OnAllClosedZones(zones);
    rollouts_.OnAllOrders(orders);
  }

  void OnAllRead(const std::vector<std::string>& keys, bool after_outage) {
    std::set<BackendName> backends;
    std::set<ZoneName> zones;
    std::set<NodeName> nodes;
    std::set<ServiceName> orders;
    std::set<ServiceName> records;
    bool has_configuration = false;
    for (const std::string& text : keys) {
      StoreEntryKey key = platform_.ParseKey(text);
      if (key.kind == StoreEntryKind::kRouting) has_configuration = true;
      if (key.kind == StoreEntryKind::kRolloutOrder) orders.insert(key.name);
      if (key.kind == StoreEntryKind::kRolloutRecord) records.insert(key.name);
      if (key.kind == StoreEntryKind::kBackend) backends.insert(key.name);
      if (key.kind == StoreEntryKind::kClosedZone) zones.insert(key.name);
      if (key.kind == StoreEntryKind::kNode) nodes.insert(key.name);
    }
    // An unusable configuration was removed while its removal could not be seen.
    if (!has_configuration) feed_.SetConfigurationUsable(true);
    state().OnAllBackends(backends, after_outage);
    state().OnAllClosedZones(zones);
    nodes_.RetainOnly(nodes, Now());
    std::erase_if(node_records_, [&](const auto& entry) { return !nodes.contains(entry.first); });
    ApplyNodes();
    OnNodesChanged();
    rollouts_.OnAllRead(orders, records);
    StartNodeKey();
  }

  const Platform platform_;
  const Reload reload_;
  ForwardServer forward_server_;
  NodeCount nodes_;
  const NodeName node_;
  const ZoneName zone_;
  std::map<NodeName, NodeRecord> node_records_;  // Nodes with a key in the store.
  bool node_key_started_ = false;
  bool key_found_ = false;  // A predecessor of this process has written the node's key.
  std::uint64_t unusable_revision_ = 0;  // Of the last configuration that was not usable.
  const bool bounds_revocation_;
  std::uint64_t configuration_hash_ = 0;  // Of the value that is in effect.
  // Of the newest write of the configuration in effect; nullopt if not read since a restore.
  std::optional<std::uint64_t> configuration_revision_;
  StoreFeed<typename Platform::StoreCodec> feed_;
  LeasedKey<typename Platform::StoreCodec> node_key_;
  CrashRecordStore<typename Platform::StoreCodec> crash_records_;
  RolloutStore<typename Platform::StoreCodec> rollouts_;
  std::optional<ChangeRelay> relay_;
  std::optional<QuotaExchange> quotas_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_NODE_H_
