#ifndef DAMASKROUTE_NODE_FORWARD_SERVICE_H_
#define DAMASKROUTE_NODE_FORWARD_SERVICE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "damaskroute/core/asio.h"
#include "damaskroute/forward/backend_table.h"
#include "damaskroute/forward/extra_budget.h"
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/node/backend_pool.h"
#include "damaskroute/node/caller_request.h"
#include "damaskroute/node/forward_metrics.h"
#include "damaskroute/node/forward_protocol.h"
#include "damaskroute/node/forward_service_options.h"
#include "damaskroute/node/reach_prober.h"
#include "damaskroute/routing/backend_directory.h"
#include "damaskroute/routing/route_table.h"
#include "damaskroute/routing/weighted_split.h"

namespace damaskroute {

/// Serves callers' requests by the routes and backend servers in force: carries out the actions of
/// `ForwardRun` on connections. All members are used on its loop only.
class ForwardService {
 public:
  ForwardService(asio::io_context& loop, ForwardServiceOptions options, ForwardProtocol protocol);
  ~ForwardService();
  ForwardService(const ForwardService&) = delete;
  ForwardService& operator=(const ForwardService&) = delete;

  /// Serves one request; `respond` is called once unless the caller leaves.
  void Handle(HttpRequest request, HttpResponder respond);

  /// Refuses a request that was not begun, for now.
  void Refuse(HttpRequest request, const char* reason, const HttpResponder& respond);

  /// Puts a version of the routes in force. A version that is not newer has no effect; returns
  /// whether it was installed.
  bool InstallRoutes(RoutingDocument document);

  /// The store says that a backend server exists.
  void OnBackend(const BackendEntry& entry);

  /// The entry of a backend server is missing.
  void OnBackendRemoved(const BackendName& id, bool after_outage);

  /// All entries were read, and these are the servers that have one.
  void OnAllBackends(const std::set<BackendName>& present, bool after_outage);

  /// Zones that get no more work.
  void SetClosedZones(std::set<ZoneName> zones);

  /// Number of nodes that share the limits of backend servers, and the limits of extra calls.
  void SetShares(int nodes, const ExtraBudgetOptions& budget);

  /// Ends all requests that still run, as the process is about to end.
  void FinishAll();

  /// Whether there are routes to serve by.
  bool has_routes() const { return routes_ != nullptr; }
  Revision routes_version() const { return routes_ ? routes_->document().version : 0; }
  std::size_t active() const { return active_.size(); }
  const ForwardMetrics& metrics() const { return metrics_; }
  const BackendPool& pool() const { return pool_; }
  const BackendTable& backends() const { return backends_; }

 private:
  struct Exchange;
  struct OpenCall {
    std::shared_ptr<BackendClient> client;
    BackendName backend;
    std::uint64_t id = 0;
    TimePoint sent;
  };

  void Carry(const std::shared_ptr<Exchange>& exchange, std::vector<ForwardAction> actions);
  void StartCall(const std::shared_ptr<Exchange>& exchange, const SendCall& send);
  void Wake(const std::shared_ptr<Exchange>& exchange, TimePoint at);
  static std::string Unanswered(const Exchange& exchange);
  void Respond(const std::shared_ptr<Exchange>& exchange, ForwardAnswer answer);
  void RefuseWith(const CallerRequest& request, int status, const char* reason,
                  const HttpResponder& respond, std::chrono::milliseconds retry_after);
  std::chrono::milliseconds ReturnTime(Duration patience);
  bool AdmitQuery(Exchange& exchange);
  void ReleaseQuery(Exchange& exchange);
  void OnCallerGone(const std::shared_ptr<Exchange>& exchange);
  void Count(const Exchange& exchange, const std::string& outcome);
  void Drop(const BackendName& id, const char* reason);
  void ScheduleExpiry();

  asio::io_context& loop_;
  const ForwardServiceOptions options_;
  const ForwardProtocol protocol_;
  std::shared_ptr<const RouteTable> routes_;
  TimePoint routes_since_;
  Random random_;
  BackendDirectory directory_;
  BackendTable backends_;
  BackendPool pool_;
  ReachProber prober_;
  ExtraBudgetOptions budget_options_;
  int nodes_ = 1;
  std::unordered_map<ServiceName, ExtraBudget> budgets_;
  std::unordered_map<std::string, WeightedSplit> splits_;    // By route.
  std::unordered_map<std::uint64_t, OverloadLimit> limits_;  // By set of shards.
  std::unordered_map<std::string, RouteLatency> latencies_;  // By route.
  std::set<std::shared_ptr<Exchange>> active_;
  asio::steady_timer expiry_timer_;
  ForwardMetrics metrics_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_SERVICE_H_
