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
#include "damaskroute/node/query_ids.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/scatter/replica_selector.h"

namespace damaskroute {

/// Runs each action at most once: issues action ids, runs the actions whose ids this process
/// issued, and forwards all others to their issuer. Belongs to one event loop and is used on its
/// thread only.
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
    std::function<bool(const NodeName&, Message)> send_to_node;  ///< False if the node is unknown.
    std::function<void(const Endpoint&, Message)> send_to_endpoint;
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

  /// Number of waiting callers, open attempts and forwarded actions.
  std::size_t open_actions() const {
    return waiting_.size() + attempts_.size() + forwarded_.size();
  }

  /// The connection to the peer was lost: messages sent to it may have arrived, but no reply will.
  void OnPeerLost(const NodeName& node);

  /// Number of running actions whose ids this process issued.
  std::size_t running() const { return ledger_.running(); }

 private:
  struct Attempt;
  struct WaitingCaller;
  struct ForwardedAction;

  void Serve(const FrontName& front, const ActionId& id, const ActionRequest& request,
             TimePoint deadline, Respond respond);
  void Run(const FrontName& front, const ActionId& id, const ActionRequest& request,
           TimePoint deadline);
  void SendAttempt(std::unique_ptr<Attempt> attempt);
  void CompleteAction(const ActionId& id, const ActionOutcome& outcome);
  void Forward(const FrontName& front, const ActionId& id, const ActionRequest& request,
               TimePoint deadline, Respond respond);
  void CompleteForward(std::uint64_t id, HttpResponse response);
  void ArmLedgerTimer();

  EventLoop& loop_;
  Context context_;
  ActionLedger ledger_;
  ActionLedger::Waiter next_waiter_ = 1;
  std::unordered_map<ActionLedger::Waiter, std::unique_ptr<WaitingCaller>> waiting_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
  std::unordered_map<std::uint64_t, std::unique_ptr<ForwardedAction>> forwarded_;
  asio::steady_timer ledger_timer_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_ACTION_SERVICE_H
