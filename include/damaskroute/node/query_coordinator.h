#ifndef DAMASKROUTE_NODE_QUERY_COORDINATOR_H_
#define DAMASKROUTE_NODE_QUERY_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/node/service_runtime.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/scatter/replica_selector.h"
#include "damaskroute/scatter/scatter_gather.h"

namespace damaskroute {

/// Runs the queries that one event loop coordinates: executes the actions of their `ScatterGather`
/// state machines. On the loop's thread only.
class QueryCoordinator {
 public:
  using Done = std::function<void(QueryResult)>;

  /// Sends a message to a node, which may be this one.
  using SendToNode = std::function<void(const NodeName&, Message)>;

  /// Notifies the crash guard of a connection that was lost during a query that has no rows.
  using OnCrash = std::function<void(const QuerySpec&, const BackendName&, BootId)>;

  QueryCoordinator(EventLoop& loop, const ReplicaSelector& selector, SendToNode send,
                   OnCrash on_crash);
  ~QueryCoordinator();

  /// Starts a query; `done` is called once, on the loop's thread. `spec.query_id` must be new.
  void Start(QuerySpec spec, std::shared_ptr<ServiceRuntime> service, Done done);

  /// Events for the queries of this loop.
  void OnReply(const ShardReply& reply);
  void OnHolderLost(const NodeName& holder);
  void OnViewChanged(const ServiceName& service);

  std::size_t open_queries() const { return queries_.size(); }

 private:
  struct RunningQuery;

  void Apply(RunningQuery& running, std::vector<ScatterAction> actions);
  void SetTimer(RunningQuery& running, TimePoint at);
  void SendBatch(RunningQuery& running, struct SendCalls action);
  void Complete(std::uint64_t query_id, QueryResult result);

  EventLoop& loop_;
  const ReplicaSelector& selector_;
  SendToNode send_;
  OnCrash on_crash_;
  std::unordered_map<std::uint64_t, std::unique_ptr<RunningQuery>> queries_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_QUERY_COORDINATOR_H_
