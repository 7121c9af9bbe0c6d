#ifndef DAMASKROUTE_NODE_QUERY_SERVICE_H_
#define DAMASKROUTE_NODE_QUERY_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskroute/api/query_request.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/http/http_response.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/node/node_view.h"
#include "damaskroute/node/query_coordinator.h"
#include "damaskroute/node/query_ids.h"
#include "damaskroute/peer/message.h"

namespace damaskroute {

/// Serves the queries that arrive on one event loop: coordinates them here, or forwards them over
/// one hop to a coordinator of the service. On the loop's thread only.
class QueryService {
 public:
  using Respond = std::function<void(HttpResponse)>;

  struct Context {
    NodeName node;
    ZoneName zone;
    std::size_t loop_index = 0;
    QueryIds* ids = nullptr;
    const Snapshot<NodeView>* view = nullptr;
    CrashGuard* crash_guard = nullptr;

    std::function<void(const Endpoint&, Message)> send;
  };

  QueryService(EventLoop& loop, QueryCoordinator& coordinator, Context context);
  ~QueryService();

  /// Serves a caller's query that arrived at `received`.
  void Handle(const FrontName& front, QueryRequest request, TimePoint received, Respond respond);

  /// Serves a query that another node forwarded; it is never forwarded again.
  void OnForwardQuery(const Endpoint& from, const ForwardQuery& message);

  void OnForwardReply(const ForwardReply& message);

  /// The connection to the peer was lost, and with it the replies to queries forwarded to it.
  void OnPeerLost(const Endpoint& peer);

 private:
  struct ForwardedQuery;

  void Coordinate(const NodeView& view, const FrontName& front, QueryRequest request,
                  TimePoint deadline, Respond respond);
  bool Forward(const NodeView& view, const FrontName& front, const QueryRequest& request,
               TimePoint deadline, Respond respond);
  std::vector<const RosterEntry*> ForwardTargets(const NodeView& view, const ServiceName& service);
  void SendForward(std::uint64_t id);
  void CompleteForward(std::uint64_t id, HttpResponse response);

  EventLoop& loop_;
  QueryCoordinator& coordinator_;
  Context context_;
  std::unordered_map<std::uint64_t, std::unique_ptr<ForwardedQuery>> forwarded_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_QUERY_SERVICE_H_
