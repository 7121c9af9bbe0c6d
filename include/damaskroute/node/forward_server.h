#ifndef DAMASKROUTE_NODE_FORWARD_SERVER_H_
#define DAMASKROUTE_NODE_FORWARD_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/forward/isolation.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/metrics/exposition.h"
#include "damaskroute/node/descriptor_plan.h"
#include "damaskroute/node/forward_node_settings.h"
#include "damaskroute/node/forward_protocol.h"
#include "damaskroute/node/forward_service.h"
#include "damaskroute/node/store_view.h"
#include "damaskroute/relay/change_relay.h"
#include "damaskroute/store/feed_options.h"

namespace damaskroute {

/// Options for following the store with which the time limits in `settings` are met.
FeedOptions MakeFeedOptions(const ForwardNodeSettings& settings);

/// Options of the rollouts for a deployment. `feed`: how the node follows the store.
RolloutOptions MakeRolloutOptions(const ForwardNodeSettings& settings, const FeedOptions& feed);

/// The ports of a node for callers, readiness checks and metrics, and its start and shutdown. Must
/// only be used on its event loop.
class ForwardServer {
 public:
  ForwardServer(asio::io_context& loop, const ForwardNodeSettings& settings,
                const ForwardProtocol& protocol, std::uint64_t seed);

  /// Opens the ports. Returns Unavailable if one is in use.
  absl::Status Start();

  /// Applies the settings that may change while the node runs.
  void Apply(const ForwardNodeSettings& settings);

  /// Returns false, without any effect, if the version is not newer than the active one.
  bool InstallRoutes(RoutingDocument document);

  /// Sets the nodes to which requests are passed that this one cannot serve.
  void SetPeers(std::vector<Peer> peers) { service_.SetPeers(std::move(peers)); }

  /// Sets the number of nodes that share the limits of the deployment.
  void SetNodes(int nodes);

  /// Begins the shutdown: closes callers' connections after their responses, later stops accepting
  /// new ones, and calls `done` once all requests are answered or the grace period is over. Reports
  /// the node as not ready in the meantime.
  void Stop(std::function<void()> done);

  /// Handles the loss (`reached` is false) or recovery of the connection to the store.
  void OnStoreReached(bool reached);

  void SetStoreView(StoreView view) {
    store_ = std::move(view);
    service_.SetConfigurationAge(store_.configuration_age);
  }

  ForwardService& service() { return service_; }

  /// Limits for the nodes that follow the store through this one.
  ChangeRelay::Limits relay_limits() const { return {client_memory_, descriptors_.followers}; }

 private:
  bool IsReady() const {
    return service_.forwarding_state().routes() != nullptr && !stopping_ && !isolated_;
  }
  void HandleReady(const HttpRequest& request, const HttpResponder& respond);
  void CheckReachability();
  void ApplyIsolation();
  void HandleMetrics(const HttpResponder& respond) const;
  void HandleState(const HttpResponder& respond) const;
  const char* ReadinessText() const;
  void StopAccepting();
  void AwaitActiveRequests();
  void FinishStop();
  void HandlePeer(HttpRequest request, HttpResponder respond);
  std::size_t ActiveRequests() const;
  void HandleCaller(HttpRequest request, HttpResponder respond);
  void WriteClientMetrics(Exposition& page) const;

  ForwardNodeSettings settings_;
  const DescriptorPlan descriptors_;
  const std::shared_ptr<ClientMemory> client_memory_;
  ForwardService service_;
  HttpServer callers_;
  HttpServer ready_;
  std::unique_ptr<HttpServer> peers_;
  std::unique_ptr<HttpServer> metrics_;
  asio::steady_timer window_timer_;  // Fires at the end of the first budget window.
  TimePoint started_;
  asio::steady_timer stop_timer_;
  TimePoint stop_at_;
  Isolation isolation_;
  StoreView store_;
  TimePoint next_reachability_check_;
  bool isolated_ = false;  // Isolation as last logged and applied.
  bool stopping_ = false;
  bool refusing_ = false;
  int nodes_ = 1;
  std::function<void()> done_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_SERVER_H_
