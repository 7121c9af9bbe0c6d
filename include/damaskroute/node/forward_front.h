#ifndef DAMASKROUTE_NODE_FORWARD_FRONT_H_
#define DAMASKROUTE_NODE_FORWARD_FRONT_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/forward/isolation.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/node/forward_node_settings.h"
#include "damaskroute/node/forward_protocol.h"
#include "damaskroute/node/forward_service.h"
#include "damaskroute/node/store_view.h"
#include "damaskroute/store/feed_options.h"

namespace damaskroute {

/// How the node follows the store, so that the bounds in `settings` hold.
FeedOptions MakeFeedOptions(const ForwardNodeSettings& settings);

/// The ports of a node: callers, readiness and metrics; and its start and end. Used on its loop.
class ForwardFront {
 public:
  ForwardFront(asio::io_context& loop, const ForwardNodeSettings& settings,
               const ForwardProtocol& protocol, std::uint64_t seed);

  /// Opens the ports. Unavailable if one is taken.
  absl::Status Start();

  /// Puts settings in force that may change while the node runs.
  void Apply(const ForwardNodeSettings& settings);

  void InstallRoutes(RoutingDocument document);
  void SetClosedZones(const std::set<ZoneName>& zones);

  /// Number of nodes that share the limits of the deployment.
  void SetNodes(int nodes);

  /// Reports the node as not ready, serves what still arrives, and calls `done` once all requests
  /// are answered or the grace is over.
  void Stop(std::function<void()> done);

  /// The store was lost, or reached again.
  void OnStoreReached(bool reached);

  void SetStoreView(StoreView view) { store_ = std::move(view); }

  ForwardService& service() { return service_; }

 private:
  bool IsReady() const { return service_.beliefs().routes() != nullptr && !stopping_ && !cut_off_; }
  void HandleReady(const HttpRequest& request, const HttpResponder& respond);
  void CheckReach();
  void ApplyReach();
  void HandleMetrics(const HttpResponder& respond) const;
  void HandleBeliefs(const HttpResponder& respond) const;
  const char* ReadyText() const;
  void StopAccepting();
  void AwaitEnd();
  void End();
  void HandleCaller(HttpRequest request, HttpResponder respond);

  ForwardNodeSettings settings_;
  ForwardService service_;
  HttpServer callers_;
  HttpServer ready_;
  std::unique_ptr<HttpServer> metrics_;
  asio::steady_timer window_timer_;  // Ends the first budget window.
  TimePoint started_;
  asio::steady_timer stop_timer_;
  TimePoint stop_at_;
  Isolation isolation_;
  StoreView store_;
  TimePoint next_reach_check_;
  bool cut_off_ = false;  // What was last acted on.
  bool stopping_ = false;
  bool ending_ = false;
  int nodes_ = 1;
  std::function<void()> done_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_FRONT_H_
