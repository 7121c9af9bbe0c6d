#ifndef DAMASKROUTE_NODE_FORWARDING_STATE_H_
#define DAMASKROUTE_NODE_FORWARDING_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "damaskroute/core/asio.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/log/log_level.h"
#include "damaskroute/node/backend_pool.h"
#include "damaskroute/node/reachability_prober.h"
#include "damaskroute/routing/backend_directory.h"
#include "damaskroute/routing/closed_zones.h"
#include "damaskroute/routing/route_table.h"

namespace damaskroute {

/// A node's view of the active routes and of the backend servers, and its connections to the
/// servers. Logs each change. Must only be used on its event loop.
class ForwardingState {
 public:
  ForwardingState(asio::io_context& loop, const BackendTableOptions& options,
                  const BackendClientOptions& client_options, std::uint64_t seed);
  ForwardingState(const ForwardingState&) = delete;
  ForwardingState& operator=(const ForwardingState&) = delete;

  /// Activates a version of the routes. Returns false, without any effect, if the version is not
  /// newer than the active one.
  bool InstallRoutes(RoutingDocument document);

  /// Announces `count` items of the store. From `kMinSummarizedBatch` items on, changes of backend
  /// server entries are logged individually at debug level only, and `EndBatch` logs a summary.
  void BeginBatch(std::size_t count);
  void EndBatch();
  static constexpr std::size_t kMinSummarizedBatch = 20;

  /// Handles a restore of the store from an older copy, which is read completely afterwards.
  void OnStoreRestored();

  /// Handles an entry of a backend server in the store.
  void OnBackend(const BackendEntry& entry);

  /// Handles the removal of a backend server's entry. `after_outage`: the removal was found after
  /// an outage of the store.
  void OnBackendRemoved(const BackendName& id, bool after_outage);

  /// Handles a complete read of the store; `present` holds all servers that have an entry.
  void OnAllBackends(const std::set<BackendName>& present, bool after_outage);

  /// Handles a response in which the server reports that it is leaving. The server counts as
  /// leaving until its next incarnation, whatever its entry says.
  void OnLeaving(const std::shared_ptr<Backend>& called);

  /// Handles a rejected request for which the server sent a backoff time (Retry-After).
  void OnBackoffRequested(const std::shared_ptr<Backend>& called,
                          std::chrono::milliseconds backoff);

  /// Handles a response to a call that was sent at `sent`. `rate_limit`: the request rate that it
  /// states, in requests per second; nothing if the server has no limit.
  void OnRateLimit(const std::shared_ptr<Backend>& called, std::optional<double> rate_limit,
                   TimePoint sent);

  /// Handles directives that close zones, to which no new requests are sent; see `ClosedZones`.
  void OnZoneClosed(const ZoneName& zone, std::uint64_t revision);
  void OnZoneOpened(const ZoneName& zone);
  void OnAllClosedZones(const std::set<ZoneName>& present);

  /// Logs the set of unreachable zones if it has changed since the last call.
  void LogUnreachableZones(TimePoint now);

  /// Sets the number of nodes that share the limits of backend servers.
  void SetNodes(int nodes);

  /// Sets the names of these nodes.
  void SetNodeNames(std::vector<NodeName> names) { backends_.SetNodeNames(std::move(names)); }

  /// Whether a service has at most one server left while others may return soon: their zone is
  /// closed, they are unreachable, or their entries expired recently.
  bool ExpectsReturningServers(TimePoint now) const;

  /// Null before the first version.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  Revision routes_version() const { return routes_ ? routes_->document().version : 0; }
  TimePoint routes_since() const { return routes_since_; }

  BackendTable& backends() { return backends_; }
  const BackendTable& backends() const { return backends_; }
  BackendPool& pool() { return pool_; }
  const BackendPool& pool() const { return pool_; }
  ReachabilityProber& prober() { return prober_; }

 private:
  struct EntryCounts {
    int added = 0;
    int updated = 0;
    int replaced = 0;
    int removed = 0;
  };

  // Returns the removed server; null if it is unknown.
  std::shared_ptr<Backend> RemoveBackend(const BackendName& id, const char* reason);
  void ScheduleExpiry();
  void ApplyClosedZones();

  std::shared_ptr<const RouteTable> routes_;
  TimePoint routes_since_;
  int nodes_ = 1;
  BackendDirectory directory_;
  BackendTable backends_;
  BackendPool pool_;
  ReachabilityProber prober_;
  asio::steady_timer expiry_timer_;
  ClosedZones closed_zones_;
  asio::steady_timer zones_timer_;
  std::set<ZoneName> logged_unreachable_zones_;
  LogLevel entry_level_ = LogLevel::kInfo;  // Level of messages about single entries.
  EntryCounts entry_counts_;                // Changes since `BeginBatch`.
  // When a service last lost the entry of a server that was not draining.
  std::map<ServiceName, TimePoint> expired_at_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARDING_STATE_H_
