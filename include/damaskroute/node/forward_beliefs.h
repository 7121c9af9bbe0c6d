#ifndef DAMASKROUTE_NODE_FORWARD_BELIEFS_H_
#define DAMASKROUTE_NODE_FORWARD_BELIEFS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "damaskroute/core/asio.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/http/backend_client_options.h"
#include "damaskroute/log/log_level.h"
#include "damaskroute/node/backend_pool.h"
#include "damaskroute/node/reach_prober.h"
#include "damaskroute/routing/backend_directory.h"
#include "damaskroute/routing/leaving_servers.h"
#include "damaskroute/routing/route_table.h"

namespace damaskroute {

/// What a node believes of the routes in force and of the backend servers, with its connections to
/// them. Each change leaves a log line. Used on its loop only.
class ForwardBeliefs {
 public:
  ForwardBeliefs(asio::io_context& loop, const BackendTableOptions& options,
                 const BackendClientOptions& client_options, std::uint64_t seed);
  ForwardBeliefs(const ForwardBeliefs&) = delete;
  ForwardBeliefs& operator=(const ForwardBeliefs&) = delete;

  /// Puts a version of the routes in force. A version that is not newer has no effect; returns
  /// whether it was installed.
  bool InstallRoutes(RoutingDocument document);

  /// So many items of the store follow. From `kManyItems` on, entries of backend servers get no
  /// lines of their own above debug, but one for all at `EndItems`.
  void BeginItems(std::size_t count);
  void EndItems();
  static constexpr std::size_t kManyItems = 20;

  /// The store says that a backend server exists.
  void OnBackend(const BackendEntry& entry);

  /// The entry of a backend server is missing.
  void OnBackendRemoved(const BackendName& id, bool after_outage);

  /// All entries were read, and these are the servers that have one.
  void OnAllBackends(const std::set<BackendName>& present, bool after_outage);

  /// An answer of the server says that it is leaving. Holds until it starts anew, whatever older
  /// entries say.
  void OnLeaving(const std::shared_ptr<Backend>& backend);

  /// The server turned a request away and wants no more from this node for so long.
  void OnAskedToWait(const std::shared_ptr<Backend>& backend, std::chrono::milliseconds pause);

  /// Zones that get no more work.
  void SetClosedZones(std::set<ZoneName> zones);

  /// Logs which zones count as lost, if that has changed.
  void NoteLostZones(TimePoint now);

  /// Number of nodes that share the limits of backend servers.
  void SetNodes(int nodes);

  /// Whether a service is left with one server at most and others may come back soon: their zone is
  /// closed, they are not reached, or their entries lapsed a moment ago.
  bool MissesServers(TimePoint now) const;

  /// Null before the first version.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  Revision routes_version() const { return routes_ ? routes_->document().version : 0; }
  TimePoint routes_since() const { return routes_since_; }

  BackendTable& backends() { return backends_; }
  const BackendTable& backends() const { return backends_; }
  BackendPool& pool() { return pool_; }
  const BackendPool& pool() const { return pool_; }
  ReachProber& prober() { return prober_; }

 private:
  struct EntryCounts {
    int added = 0;
    int updated = 0;
    int replaced = 0;
    int removed = 0;
  };

  void Drop(const BackendName& id, const char* reason);
  void ScheduleExpiry();

  std::shared_ptr<const RouteTable> routes_;
  TimePoint routes_since_;
  int nodes_ = 1;
  BackendDirectory directory_;
  BackendTable backends_;
  BackendPool pool_;
  ReachProber prober_;
  asio::steady_timer expiry_timer_;
  std::set<ZoneName> lost_zones_;  // As logged.
  LeavingServers leaving_;
  LogLevel entry_level_ = LogLevel::kInfo;   // Of lines on single entries.
  EntryCounts entry_counts_;                 // Since `BeginItems`.
  std::map<ServiceName, TimePoint> lapsed_;  // When an entry was removed of a server in service.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_BELIEFS_H_
