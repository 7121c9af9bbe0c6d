#include "damaskroute/quota/quota_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace damaskroute {
namespace {

using Seconds = std::chrono::duration<double>;

// Absorbs rounding when a level is compared with whole tokens.
constexpr double kEpsilon = 1e-6;

// Waits longer than this are of no use to anybody and would overflow a `Duration` at tiny rates.
constexpr Seconds kMaxWait{3600};

}  // namespace

QuotaBucket::QuotaBucket(QuotaLimit limit, double fraction, Duration now)
    : limit_(limit), fraction_(fraction), at_(now) {}

// A bucket of the whole quota must hold at least one token.
double QuotaBucket::Depth() const { return std::max(limit_.burst, 1.0); }

void QuotaBucket::Settle(Duration now) {
  if (now > at_) {
    level_ += limit_.rate_per_s * fraction_ * Seconds(now - at_).count();
    at_ = now;
  }
  level_ = std::min(level_, max_level());
}

void QuotaBucket::SetLimit(QuotaLimit limit, Duration now) {
  Settle(now);
  limit_ = limit;
  level_ = std::min(level_, max_level());
}

void QuotaBucket::SetFraction(double fraction, Duration now) {
  Settle(now);
  fraction_ = std::max(fraction, 0.0);
  level_ = std::min(level_, max_level());
}

void QuotaBucket::Credit(double fraction, Duration idle) {
  level_ += fraction * std::min(limit_.rate_per_s * Seconds(idle).count(), Depth());
  level_ = std::min(level_, max_level());
}

int QuotaBucket::Take(int count, double reserve, Duration now) {
  Settle(now);
  double spare = std::floor(level_ - reserve + kEpsilon);
  int taken = static_cast<int>(std::clamp(spare, 0.0, static_cast<double>(std::max(count, 0))));
  level_ = std::max(level_ - taken, 0.0);
  return taken;
}

Duration QuotaBucket::NextTokenIn(Duration now) {
  Settle(now);
  double missing = 1 - level_;
  if (missing <= kEpsilon) return Duration::zero();
  double rate = limit_.rate_per_s * fraction_;
  if (max_level() < 1 - kEpsilon || rate <= 0) return Duration::max();
  return std::chrono::ceil<Duration>(std::min(Seconds(missing / rate), kMaxWait));
}

Duration QuotaBucket::FillTime(Duration now) {
  Settle(now);
  double rate = limit_.rate_per_s * fraction_;
  if (rate <= 0) return Duration::max();
  return std::chrono::floor<Duration>(std::min(Seconds(level_ / rate), kMaxWait));
}

}  // namespace damaskroute
