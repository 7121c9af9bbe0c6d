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
  /// A call older than this quantile of the service's calls is late.
  double quantile = 0.97;
  /// A copy that is older than this many medians is late.
  double copy_late_medians = 1.3;
  /// Lower bound of the age at which a call is late; copies of very fast calls save no time.
  std::chrono::microseconds min_delay{2000};
  /// Copies per first call of the service.
  double copy_ratio = 0.05;
  /// Copies that may be sent at once.
  std::uint32_t copy_burst = 60;
  /// While more than this fraction of the calls is late, no copies are sent.
  double max_late_ratio = 0.2;
  /// Up to this number of late calls the fraction is not looked at: with a fan-out of two, one
  /// late call would already be half of all.
  std::uint32_t min_late = 4;
};

/// Copies per first call and copies at once over all services of a node.
inline constexpr double kNodeCopyRatio = 0.05;
inline constexpr std::uint32_t kNodeCopyBurst = 200;

/// Decides when a shard call of a service gets a copy at another replica. One per service; safe
/// for use by several threads. Dean and Barroso, "The Tail at Scale", 2013.
class HedgePolicy {
 public:
  /// `node_copies` is the budget that all services of the node share; it outlives the policy.
  HedgePolicy(const HedgeSettings& settings, TokenBudget& node_copies);

  /// A query starts with `calls` first calls.
  void OnStart(std::uint32_t calls);

  /// A query with `calls` first calls, of which `late` became late, ended.
  void OnEnd(std::uint32_t calls, std::uint32_t late);

  /// A call became late.
  void OnLate() { late_.fetch_add(1, std::memory_order_relaxed); }

  /// Age at which a call is late; nullopt while too few calls are known to tell.
  std::optional<Duration> LateAfter() const;

  /// The same for a copy or a repeated call.
  std::optional<Duration> CopyLateAfter() const;

  /// Whether a copy may be sent now; takes its tokens.
  bool TryCopy();

  /// Returns the tokens of a copy that was not sent.
  void GiveBack();

  /// Latency of the service's calls.
  LatencyQuantiles& latency() { return latency_; }
  const LatencyQuantiles& latency() const { return latency_; }

 private:
  const HedgeSettings settings_;
  LatencyQuantiles latency_;
  TokenBudget copies_;
  TokenBudget& node_copies_;
  // Counted over whole queries, so that the calls which are already answered stay in the
  // denominator: near the end of a query nearly all of its open calls are late.
  std::atomic<std::int64_t> calls_{0};
  std::atomic<std::int64_t> late_{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SCATTER_HEDGE_POLICY_H_
