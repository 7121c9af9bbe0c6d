#ifndef DAMASKROUTE_NODE_ACTION_SERVICE_H
#define DAMASKROUTE_NODE_ACTION_SERVICE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskroute/actions/action_id.h"
#include "damaskroute/actions/action_ledger.h"
#include "damaskroute/api/action_request.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/http/http_response.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/node/node_view.h"
#include "damaskroute/node/query_id.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/scatter/replica_selector.h"

namespace damaskroute {

/// Runs actions at most once: issues action ids, makes the attempt for the ids of this process, and
/// forwards all others to their issuer. Belongs to one event loop; on its thread only.
class ActionService {
 public:
  using Respond = std::function<void(HttpResponse)>;

  struct Context {
    NodeName node;
    Incarnation incarnation = 0;
    std::size_t loop_index = 0;
    QueryIds* ids = nullptr;
    const Snapshot<NodeView>* view = nullptr;
    const ReplicaSelector* selector = nullptr;
    CrashGuard* crash_guard = nullptr;
    std::function<bool(const NodeName&, Message)> to_node;  ///< False if the node is unknown.
    std::function<void(const Endpoint&, Message)> to_endpoint;
  };

  ActionService(EventLoop& loop, Context context);
  ~ActionService();

  /// `POST /v1/fronts/F/action-ids`.
  void HandleIssue(const FrontName& front, const Respond& respond);

  /// `POST /v1/fronts/F/actions`.
  void Handle(const FrontName& front, const ActionRequest& request, TimePoint received,
              Respond respond);

  void OnForwardAction(const Endpoint& from, const ForwardAction& message);
  void OnActionReply(const ActionReply& message);
  void OnActionResult(const ActionResult& message);

  /// Actions that run or wait here.
  std::size_t open_actions() const {
    return waiting_.size() + attempts_.size() + forwarded_.size();
  }

  /// Messages sent to this peer may have arrived, but nothing comes back.
  void OnPeerLost(const NodeName& node);

  /// Actions of this issuer that run now.
  std::size_t running() const { return ledger_.running(); }

 private:
  struct Attempt;
  struct Waiting;
  struct Forwarded;

  void Serve(const FrontName& front, const ActionId& id, const ActionRequest& request,
             TimePoint deadline, Respond respond);
  void Run(const FrontName& front, const ActionId& id, const ActionRequest& request,
           TimePoint deadline);
  void SendAttempt(std::unique_ptr<Attempt> attempt);
  void Conclude(const ActionId& id, const ActionOutcome& outcome);
  void Forward(const FrontName& front, const ActionId& id, const ActionRequest& request,
               TimePoint deadline, Respond respond);
  void EndForward(std::uint64_t id, HttpResponse response);
  void ArmLedgerTimer();

  EventLoop& loop_;
  Context context_;
  ActionLedger ledger_;
  ActionLedger::Waiter next_waiter_ = 1;
  std::unordered_map<ActionLedger::Waiter, std::unique_ptr<Waiting>> waiting_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Forwarded>> forwarded_;
  asio::steady_timer ledger_timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_ACTION_SERVICE_H
