#include "damaskroute/forward/tenant_use.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constants of the averages. The recent one follows a burst within a few seconds; the usual
// one is longer than a burst.
constexpr Seconds kRecentTime{2};
constexpr Seconds kUsualTime{300};

// Before this time nothing is known about what is usual.
constexpr Seconds kMinObservedTime{10};

// A tenant is far above its usual rate above this multiple of it.
constexpr double kFarAbove = 2;

// Standard deviations of a random number of requests that are no sign of a rise. A tenant of a
// large deployment sends less than one request per second to each node.
constexpr double kDeviations = 2;

// Tenants with a lower rate have no part in the median: most of them sent a single request.
constexpr double kMinActiveRate = 0.25;

constexpr std::chrono::milliseconds kMedianInterval{500};

double Decay(Duration age, Seconds time) { return std::exp(-(Seconds(age) / time)); }

// Rate above which a tenant whose usual rate is `usual` is far above it.
double FarAboveRate(double usual) {
  return kFarAbove * usual + kDeviations * std::sqrt(usual / kRecentTime.count()) +
         1 / kRecentTime.count();
}

}  // namespace

double TenantUse::RecentAt(const Entry& entry, TimePoint now) {
  return entry.recent * Decay(now - entry.last, kRecentTime);
}

bool TenantUse::KnowsUsual(TimePoint now) const {
  return observed_since_ != TimePoint::max() && now - observed_since_ >= kMinObservedTime;
}

void TenantUse::OnRequest(const TenantName& tenant, TimePoint now) {
  observed_since_ = std::min(observed_since_, now);
  std::uint64_t key = Hash64(tenant);
  auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (entries_.size() >= max_tenants_) ForgetIdle();
    found = entries_.try_emplace(key, Entry{.last = observed_since_}).first;
  }
  Entry& entry = found->second;
  // The rate just before a request is an unbiased sample of it.
  double recent = RecentAt(entry, now);
  double sample = KnowsUsual(now) ? std::min(recent, FarAboveRate(entry.usual)) : recent;
  Seconds time = std::clamp<Seconds>(now - observed_since_, Seconds(1), kUsualTime);
  entry.usual += (sample - entry.usual) * (1 - Decay(now - entry.last, time));
  entry.recent = recent + 1 / kRecentTime.count();
  entry.last = now;
}

void TenantUse::Clear() {
  entries_.clear();
  observed_since_ = TimePoint::max();
}

void TenantUse::ForgetIdle() {
  std::vector<TimePoint> times;
  times.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) times.push_back(entry.last);
  auto quarter = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
  std::nth_element(times.begin(), quarter, times.end());
  std::erase_if(entries_,
                [until = *quarter](const auto& item) { return item.second.last <= until; });
}

double TenantUse::MedianRise(TimePoint now) {
  if (now < next_median_) return median_rise_;
  next_median_ = now + kMedianInterval;
  std::vector<double> rises;
  for (const auto& [key, entry] : entries_) {
    double recent = RecentAt(entry, now);
    if (recent < kMinActiveRate) continue;
    rises.push_back(recent / std::max(entry.usual, kMinActiveRate));
  }
  median_rise_ = 1;
  if (rises.empty()) return median_rise_;
  auto middle = rises.begin() + static_cast<std::ptrdiff_t>((rises.size() - 1) / 2);
  std::nth_element(rises.begin(), middle, rises.end());
  median_rise_ = std::max(*middle, 1.0);
  return median_rise_;
}

double TenantUse::UsualFraction(const TenantName& tenant, TimePoint now) {
  auto found = entries_.find(Hash64(tenant));
  if (found == entries_.end() || !KnowsUsual(now)) return 1;
  double recent = RecentAt(found->second, now);
  double far_above = FarAboveRate(found->second.usual * MedianRise(now));
  return recent <= far_above ? 1 : far_above / recent;
}

}  // namespace damaskroute
