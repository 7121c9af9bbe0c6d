#ifndef DAMASKROUTE_NODE_ENTRY_NODE_H_
#define DAMASKROUTE_NODE_ENTRY_NODE_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <vector>

#include "absl/status/status.h"
#include "damaskroute/api/front_target.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/http/http_server.h"
#include "damaskroute/node/action_service.h"
#include "damaskroute/node/control_plane.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/node/holder_loop.h"
#include "damaskroute/node/node_view.h"
#include "damaskroute/node/operator_api.h"
#include "damaskroute/node/query_coordinator.h"
#include "damaskroute/node/query_ids.h"
#include "damaskroute/node/query_service.h"
#include "damaskroute/node/replication.h"
#include "damaskroute/node/store_agent.h"
#include "damaskroute/peer/peer_transport.h"
#include "damaskroute/scatter/replica_selector.h"
#include "damaskroute/settings/node_settings.h"
#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_vm_list.h"

namespace damaskroute {

/// An entry node: owns its event loops, servers and peer connections and connects them.
class EntryNode {
 public:
  EntryNode(NodeSettings settings, Incarnation incarnation);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Opens all ports and starts the threads. Unavailable if a port is taken.
  absl::Status Start();

  /// Graceful shutdown (docs/design.md, 3.11). Blocks until the node can be destroyed without
  /// aborting a request, or until the time limits of the individual steps have passed:
  /// `drain_time`, the longest deadline of a caller, and a few seconds for the platform if it does
  /// not respond. Further calls return at once.
  void Drain();

  /// Sum of the slots of backend servers that this node may use now. Call it between `Start` and
  /// the destructor, from any thread other than the node's own.
  int HeldSlots();

  /// Installs documents without a store, for tests. Thread-safe. `InstallRoster` also reports that
  /// this node's entry was added; `had_predecessor` has no effect once the share table exists.
  void InstallConfig(ConfigDocument config);
  void InstallRoster(Roster roster, bool had_predecessor = false);

  /// Drops all messages to and from these peers, as a network partition does; for tests.
  /// Thread-safe. An empty set ends the partition.
  void PartitionFrom(std::set<Endpoint> peers) { partitioned_peers_.Publish(std::move(peers)); }

  /// Blocks all event loops until `Resume`, like a paused VM; for tests. Must not be called on a
  /// loop.
  void Pause();
  void Resume();

  /// Called on the control loop for each configuration that is installed; for tests. Set before
  /// `Start`.
  void SetOnConfigInstalled(std::function<void(Revision)> callback) {
    on_config_installed_ = std::move(callback);
  }

  /// The documents in force. Thread-safe.
  std::shared_ptr<const NodeView> view() const { return view_.Load(); }

 private:
  struct Worker;

  bool IsPartitionedFrom(const Endpoint& peer) const {
    return partitioned_peers_.Load()->contains(peer);
  }
  void MakeWorkers();
  void MakeActions();
  void OnCrash(const QuerySpec& spec, const BackendName& backend, BootId boot_id);
  void NotifyCoordinators(const ServiceName& service, const Message& message);
  void MakeReplication();
  void MakeStoreAgent();
  bool HandOverShares();
  bool WaitUntilIdle(Duration limit);
  std::size_t CountOpenWork();
  template <typename Function>
  auto OnControlLoop(Function function);
  void MakeOperatorApi();
  std::string RenderStatus();
  void HandleCaller(const HttpRequest& request, HttpResponder respond);
  void HandleAction(const FrontTarget& target, const HttpRequest& request, HttpResponder respond);
  HttpResponse MakeReadinessResponse() const;
  bool SendToNode(const NodeName& node, Message message);
  void SendTo(const Endpoint& endpoint, Message message);
  void Deliver(const NodeName& from_node, const Endpoint& from, Message message);
  void OnPeerLost(const Endpoint& endpoint);
  void DeliverBatch(const Endpoint& from, ShardBatch batch);
  void DeliverAction(const Endpoint& from, RunAction action);
  Worker& WorkerOf(const BackendName& backend);
  BackendChannelHooks MakeChannelHooks();

  const NodeSettings settings_;
  const Incarnation incarnation_;
  QueryIds ids_;
  Snapshot<NodeView> view_;
  Snapshot<std::set<Endpoint>> partitioned_peers_;
  std::function<void(Revision)> on_config_installed_;
  std::promise<void> resumed_;
  ReplicaSelector selector_;
  CrashGuard crash_guard_;
  EventLoop control_loop_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<ActionService> actions_;  // On the first worker's loop.
  std::unique_ptr<ControlPlane> control_;
  std::unique_ptr<Replication> replication_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<StoreAgent<HttpStore, HttpVmList>> store_agent_;
  std::unique_ptr<OperatorApi> operator_api_;
  std::unique_ptr<HttpServer> callers_;
  std::atomic<std::size_t> next_worker_{0};
  std::atomic<bool> draining_{false};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_ENTRY_NODE_H_
