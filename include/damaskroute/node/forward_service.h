#ifndef DAMASKROUTE_NODE_FORWARD_SERVICE_H_
#define DAMASKROUTE_NODE_FORWARD_SERVICE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "damaskroute/core/asio.h"
#include "damaskroute/core/json_writer.h"
#include "damaskroute/forward/extra_budget.h"
#include "damaskroute/forward/forward_run.h"
#include "damaskroute/forward/query_place.h"
#include "damaskroute/forward/time_on_the_way.h"
#include "damaskroute/forward/timer_delay.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/node/caller_request.h"
#include "damaskroute/node/forward_beliefs.h"
#include "damaskroute/node/forward_metrics.h"
#include "damaskroute/node/forward_protocol.h"
#include "damaskroute/node/forward_service_options.h"
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

  /// Number of nodes that share the limits of backend servers, and the limits of extra calls.
  void SetShares(int nodes, const ExtraBudgetOptions& budget);

  /// Ends all requests that still run, as the process is about to end.
  void FinishAll();

  /// Whether the node reaches enough shards for a query of any route; true without such routes.
  bool ReachesShards() const;

  /// Finds out whether zones of which nothing was heard lately are still reached.
  void ProbeQuietZones();

  /// Calls `hook` whenever a backend server could not be reached.
  void SetOnUnreachable(std::function<void()> hook) { on_unreachable_ = std::move(hook); }

  /// The routes and backend servers that requests are served by.
  ForwardBeliefs& beliefs() { return beliefs_; }
  const ForwardBeliefs& beliefs() const { return beliefs_; }

  /// Writes routes, backend servers with why each is used or not, and extra calls by service, as
  /// members of the JSON object in progress.
  void WriteBeliefs(JsonWriter& writer, TimePoint now) const;

  std::size_t active() const { return active_.size(); }
  const ForwardMetrics& metrics() const { return metrics_; }

 private:
  struct Exchange;
  struct OpenCall {
    std::shared_ptr<BackendClient> client;
    BackendName backend;
    std::uint64_t id = 0;
    TimePoint sent;
  };

  ForwardSpec MakeSpec(const Route& route, const ForwardTimes& times);
  Duration OutsideTime(const Route& route, const CallerRequest& request) const;
  void Carry(const std::shared_ptr<Exchange>& exchange, std::vector<ForwardAction> actions);
  void StartCall(const std::shared_ptr<Exchange>& exchange, const SendCall& send);
  void OnUnreachable(const std::shared_ptr<Backend>& backend);
  void Wake(const std::shared_ptr<Exchange>& exchange, TimePoint at);
  static std::string Unanswered(const Exchange& exchange);
  void Respond(const std::shared_ptr<Exchange>& exchange, ForwardAnswer answer);
  void RefuseWith(const CallerRequest& request, int status, const char* reason,
                  const HttpResponder& respond, std::chrono::milliseconds retry_after);
  std::chrono::milliseconds ReturnTime(Duration patience);
  bool AdmitQuery(Exchange& exchange);
  std::ptrdiff_t ReachedShards(const Route& route) const;
  void WriteRoutes(JsonWriter& writer) const;
  void OnCallerGone(const std::shared_ptr<Exchange>& exchange);
  void Count(const Exchange& exchange, const std::string& outcome);

  asio::io_context& loop_;
  const ForwardServiceOptions options_;
  const ForwardProtocol protocol_;
  TimerDelay timer_delay_;
  Random random_;
  ForwardBeliefs beliefs_;
  ExtraBudgetOptions budget_options_;
  std::unordered_map<ServiceName, ExtraBudget> budgets_;
  std::unordered_map<std::string, WeightedSplit> splits_;    // By route.
  std::unordered_map<std::uint64_t, OverloadLimit> limits_;  // By set of shards.
  std::unordered_map<std::string, RouteLatency> latencies_;  // By route.
  std::set<std::shared_ptr<Exchange>> active_;
  ForwardMetrics metrics_;
  std::function<void()> on_unreachable_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_SERVICE_H_
