#include "damaskroute/scatter/hedge_policy.h"

#include <algorithm>

namespace damaskroute {

HedgePolicy::HedgePolicy(const HedgeSettings& settings, TokenBudget& node_hedge_budget)
    : settings_(settings),
      latency_(settings.quantile),
      service_hedge_budget_(settings.hedge_ratio, settings.hedge_burst),
      node_hedge_budget_(node_hedge_budget) {}

void HedgePolicy::OnStart(std::uint32_t calls) {
  calls_.fetch_add(calls, std::memory_order_relaxed);
  service_hedge_budget_.OnFirstCalls(calls);
  node_hedge_budget_.OnFirstCalls(calls);
}

void HedgePolicy::OnEnd(std::uint32_t calls, std::uint32_t late) {
  calls_.fetch_sub(calls, std::memory_order_relaxed);
  if (late > 0) late_.fetch_sub(late, std::memory_order_relaxed);
}

std::optional<Duration> HedgePolicy::LateAfter() const {
  std::optional<Duration> quantile = latency_.hedge();
  if (!quantile.has_value()) return std::nullopt;
  return std::max<Duration>(*quantile, settings_.min_delay);
}

std::optional<Duration> HedgePolicy::HedgeLateAfter() const {
  std::optional<Duration> late_after = LateAfter();
  std::optional<Duration> median = latency_.median();
  if (!late_after.has_value() || !median.has_value()) return late_after;
  auto medians = std::chrono::duration_cast<Duration>(*median * settings_.hedge_late_medians);
  return std::clamp<Duration>(medians, settings_.min_delay, *late_after);
}

bool HedgePolicy::TryHedge() {
  auto late = late_.load(std::memory_order_relaxed);
  auto calls = calls_.load(std::memory_order_relaxed);
  if (late > settings_.min_late &&
      static_cast<double>(late) > settings_.max_late_ratio * static_cast<double>(calls)) {
    return false;
  }
  if (!service_hedge_budget_.TryTake()) return false;
  if (node_hedge_budget_.TryTake()) return true;
  service_hedge_budget_.Refund();
  return false;
}

void HedgePolicy::Refund() {
  service_hedge_budget_.Refund();
  node_hedge_budget_.Refund();
}

}  // namespace damaskroute
