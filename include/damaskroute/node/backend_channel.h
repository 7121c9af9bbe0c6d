#ifndef DAMASKROUTE_NODE_BACKEND_CHANNEL_H_
#define DAMASKROUTE_NODE_BACKEND_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "damaskroute/admission/call_queue.h"
#include "damaskroute/config/backend_server.h"
#include "damaskroute/crashguard/connection_loss_tracker.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/http/byte_budget.h"
#include "damaskroute/node/event_loop.h"
#include "damaskroute/node/holder_call.h"
#include "damaskroute/peer/backend_report.h"
#include "damaskroute/peer/crash_refutation.h"
#include "damaskroute/peer/message.h"
#include "damaskroute/shares/warmth_tracker.h"

namespace damaskroute {

/// Callbacks from a `BackendChannel` to its node. All of them run on the channel's loop.
struct BackendChannelHooks {
  std::function<void(const Endpoint&, Message)> reply;
  std::function<void(const NodeName&, Message)> send_to_node;
  std::function<void(BackendReport)> report;  ///< `holder` and `sequence` are not set.
  std::function<void(const CrashRefutation&)> refute_crash;
  std::function<void(const BackendName&, std::uint64_t sequence)> within_limit;
};

/// A holder's side of one backend server: queue, connections, cold start and health. Belongs to
/// one event loop. `body_budget` bounds the memory of the answers that are read on the loop.
class BackendChannel {
 public:
  BackendChannel(EventLoop& loop, const ServiceName& service, BackendServer backend,
                 WarmthOptions warmth, LatencyQuantiles& latency,
                 std::shared_ptr<ByteBudget> body_budget, BackendChannelHooks hooks);
  ~BackendChannel();
  BackendChannel(const BackendChannel&) = delete;
  BackendChannel& operator=(const BackendChannel&) = delete;

  /// Sets the share of the backend server that this node may use; `sequence` is passed to
  /// `within_limit` once calls and connections fit. `accepts_work` is false for a leaving backend
  /// server and for one in a zone that is taken out.
  void SetLimit(const Share& share, std::uint64_t sequence, bool accepts_work,
                NodeName first_holder);

  /// Queues a call. A reply always follows, unless the call is cancelled.
  void Submit(HolderCall call);

  /// Cancels the call if it waits or runs on this channel.
  void Cancel(const Endpoint& from, std::uint64_t query_id, std::uint32_t call_id);

  void OnWarmQuery(const NodeName& from, const WarmQuery& query);
  void OnWarmGrant(const WarmGrant& grant);

  const BackendServer& backend() const { return backend_; }

  /// Number of calls that wait or run.
  std::size_t load() const { return calls_.size(); }

 private:
  using CallKey = std::tuple<Endpoint, std::uint64_t, std::uint32_t>;
  struct ActiveCall {
    HolderCall call;
    std::uint64_t exchange_id = 0;  // 0 while it waits.
    TimePoint started;
  };

  void Apply(const std::vector<QueueAction>& actions, TimePoint now);
  void Start(std::uint64_t token, TimePoint now);
  void Finish(std::uint64_t token, const ExchangeResult& result);
  void Refuse(std::uint64_t token, ShardOutcome outcome);
  void Reply(const HolderCall& call, ShardOutcome outcome, const ExchangeResult& result,
             std::string rows);
  void RequestCancel(std::uint64_t token);
  void RecordResult(const ActiveCall& entry, const ExchangeResult& result, TimePoint now);
  BootId BootIdOf(const ExchangeResult& result) const;
  void RecordAlive(BootId boot_id, TimePoint started, TimePoint now);
  int CallLimit(TimePoint now) const;
  void UpdateLimit(TimePoint now);
  void CheckWithinLimit();
  void ArmTick();
  void Tick();
  void PollHealth();
  void OnHealth(const ExchangeResult& result, TimePoint started);
  BackendState StateAt(TimePoint now) const;
  void Report(TimePoint now);

  const ServiceName service_;
  const BackendServer backend_;
  BackendChannelHooks hooks_;
  WarmthTracker warmth_;
  ConnectionLossTracker loss_tracker_;
  CallQueue queue_;
  BackendClient client_;
  asio::steady_timer queue_timer_;
  asio::steady_timer tick_timer_;
  Share share_;
  bool accepts_work_ = false;
  NodeName first_holder_;
  std::uint64_t limit_sequence_ = 0;
  std::uint64_t confirmed_sequence_ = 0;
  std::uint64_t next_token_ = 1;
  std::unordered_map<std::uint64_t, ActiveCall> calls_;
  std::map<CallKey, std::uint64_t> tokens_;
  bool health_poll_running_ = false;
  TimePoint next_health_poll_;
  int failed_health_polls_ = 0;
  bool draining_ = false;
  std::vector<HeldRange> held_ranges_;
  BackendReport last_report_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_BACKEND_CHANNEL_H_
