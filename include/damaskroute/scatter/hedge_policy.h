#ifndef DAMASKROUTE_SCATTER_HEDGE_POLICY_H_
#define DAMASKROUTE_SCATTER_HEDGE_POLICY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

#include "damaskroute/core/time.h"
#include "damaskroute/scatter/latency_quantiles.h"
#include "damaskroute/scatter/token_budget.h"

namespace damaskroute {

/// Settings of `HedgePolicy`.
struct HedgeSettings {
  /// A call that takes longer than this quantile of the service's latency is late.
  double quantile = 0.97;
  /// A hedge or retry that takes longer than this many medians is late.
  double hedge_late_medians = 1.3;
  /// Lower bound of the age at which a call is late; hedging very fast calls saves no time.
  std::chrono::microseconds min_delay{2000};
  /// Hedges per first call of the service.
  double hedge_ratio = 0.05;
  /// Maximum burst of hedges.
  std::uint32_t hedge_burst = 60;
  /// No hedges are sent while more than this fraction of the calls is late.
  double max_late_ratio = 0.2;
  /// `max_late_ratio` applies only above this number of late calls: with a fan-out of two, a single
  /// late call is already half of all calls.
  std::uint32_t min_late = 4;
};

/// Hedges per first call and maximum burst of hedges, over all services of a node.
inline constexpr double kNodeHedgeRatio = 0.05;
inline constexpr std::uint32_t kNodeHedgeBurst = 200;

/// Decides when a shard call of a service is hedged, that is, when a second call for the same range
/// is sent to another replica because the first one is late. The first answer wins and the other
/// call is cancelled. One per service; thread-safe. See Dean and Barroso, "The Tail at Scale",
/// 2013.
class HedgePolicy {
 public:
  /// `node_hedge_budget` is shared by all services of the node and must outlive the policy.
  HedgePolicy(const HedgeSettings& settings, TokenBudget& node_hedge_budget);

  /// A query started with `calls` first calls.
  void OnStart(std::uint32_t calls);

  /// A query with `calls` first calls, `late` of which became late, ended.
  void OnEnd(std::uint32_t calls, std::uint32_t late);

  /// A call became late.
  void OnLate() { late_.fetch_add(1, std::memory_order_relaxed); }

  /// Age at which a call is late; nullopt until there are enough latency samples.
  std::optional<Duration> LateAfter() const;

  /// Age at which a hedge or a retry is late.
  std::optional<Duration> HedgeLateAfter() const;

  /// Returns whether a hedge may be sent now, and takes its tokens if so.
  bool TryHedge();

  /// Returns the tokens of a hedge that was not sent.
  void Refund();

  /// Latency of the service's calls.
  LatencyQuantiles& latency() { return latency_; }
  const LatencyQuantiles& latency() const { return latency_; }

 private:
  const HedgeSettings settings_;
  LatencyQuantiles latency_;
  TokenBudget service_hedge_budget_;
  TokenBudget& node_hedge_budget_;
  // Counts whole queries, so that answered calls stay in the denominator: near the end of a query
  // nearly all of its open calls are late.
  std::atomic<std::int64_t> calls_{0};
  std::atomic<std::int64_t> late_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_HEDGE_POLICY_H_
