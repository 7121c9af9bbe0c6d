#ifndef DAMASKROUTE_NODE_HOLDER_LOOP_H_
#define DAMASKROUTE_NODE_HOLDER_LOOP_H_

#include <map>
#include <memory>

#include "damaskroute/config/service.h"
#include "damaskroute/http/byte_budget.h"
#include "damaskroute/node/backend_channel.h"
#include "damaskroute/scatter/latency_quantiles.h"

namespace damaskroute {

/// The backend channels of one event loop. On the loop's thread only.
class HolderLoop {
 public:
  /// `longest_call` bounds the time from `Submit` to the end of a call; see
  /// `NodeSettings::longest_call`.
  HolderLoop(EventLoop& loop, BackendChannelHooks hooks, Incarnation incarnation,
             Duration longest_call);

  /// Creates or changes a channel. A channel without calls is replaced if the address has changed.
  struct Limit {
    ServiceName service;
    BackendServer backend;
    std::chrono::milliseconds warm_up{};
    Share share;
    std::uint64_t sequence = 0;
    bool accepts_work = false;
    NodeName first_holder;
  };
  void SetLimit(const Limit& limit);

  /// Submits the call to its channel, or refuses it with `kNoShare` if there is none.
  void Submit(const BackendName& backend, HolderCall call);

  void Cancel(const Endpoint& from, const CancelCalls& cancel);
  void OnWarmQuery(const NodeName& from, const WarmQuery& query);
  void OnWarmGrant(const WarmGrant& grant);

  /// Number of calls that wait or run in all channels.
  std::size_t load() const;

 private:
  LatencyQuantiles& LatencyOf(const ServiceName& service);
  void RefuseWithoutChannel(const BackendName& backend, const HolderCall& call);

  EventLoop& loop_;
  BackendChannelHooks hooks_;
  Incarnation incarnation_;
  const Duration longest_call_;
  const std::shared_ptr<ByteBudget> body_budget_;
  std::map<ServiceName, std::unique_ptr<LatencyQuantiles>> latencies_;
  std::map<BackendName, std::unique_ptr<BackendChannel>> channels_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_HOLDER_LOOP_H_
