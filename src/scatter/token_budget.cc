#include "damaskroute/scatter/token_budget.h"

#include <algorithm>
#include <cmath>

namespace damaskroute {
namespace {

constexpr std::int64_t kUnitsPerToken = 1'000'000;

}  // namespace

TokenBudget::TokenBudget(double ratio, std::uint32_t burst)
    : units_per_call_(std::llround(ratio * kUnitsPerToken)),
      burst_units_(std::int64_t{burst} * kUnitsPerToken),
      units_(burst_units_) {}

void TokenBudget::OnFirstCalls(std::uint32_t calls) { Add(units_per_call_ * calls); }

bool TokenBudget::TryTake() {
  std::int64_t held = units_.load(std::memory_order_relaxed);
  while (held >= kUnitsPerToken) {
    if (units_.compare_exchange_weak(held, held - kUnitsPerToken, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

void TokenBudget::Refund() { Add(kUnitsPerToken); }

double TokenBudget::available() const {
  return static_cast<double>(units_.load(std::memory_order_relaxed)) / kUnitsPerToken;
}

void TokenBudget::Add(std::int64_t units) {
  std::int64_t held = units_.load(std::memory_order_relaxed);
  while (held < burst_units_) {
    std::int64_t filled = std::min(held + units, burst_units_);
    if (units_.compare_exchange_weak(held, filled, std::memory_order_relaxed)) return;
  }
}

}  // namespace damaskroute
