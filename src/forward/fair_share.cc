#include "damaskroute/forward/fair_share.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Time constant of all rates. At 20 requests per second it covers 20 of them.
constexpr Seconds kRateTime{1};

constexpr milliseconds kUpdateInterval{200};

// Factor on what was served recently. The tenth above it is turned away, whoever sends it, and
// shows that the capacity is in use.
constexpr double kHeadroom = 1.1;

// Growth of the capacity for each update before which nothing was turned away.
constexpr double kGrowth = 1.3;

// The capacity is at least this part of the requests, so that it recovers within about a second.
constexpr double kMinCapacityFraction = 0.2;

// Least probability of a tenant in relation to the greatest one. The stated limit is 0.25; the rest
// covers what is turned away later. At 0.33 a flood takes too much of the capacity.
constexpr double kLeastShare = 0.3;

// Tenants with at least this part of the greatest probability may use all of the capacity.
constexpr double kFirstFraction = 0.99;

constexpr milliseconds kIdleTime{5000};

// Entries below this decayed count are removed: a single request has it for five seconds.
constexpr double kMinRequests = 0.007;

constexpr int kBisections = 24;

// Priorities from this one on share an entry once there are too many entries.
constexpr int kLastSharedPriority = 7;

double DecayedTo(double count, TimePoint last, TimePoint now) {
  return count * std::exp(-(Seconds(now - last) / kRateTime));
}

}  // namespace

FairShare::FairShare(std::uint64_t seed, TimePoint now)
    : random_(seed),
      served_at_(now),
      capacity_(std::numeric_limits<double>::infinity()),
      last_turned_away_(now),
      next_update_(now + kUpdateInterval) {}

void FairShare::Count(double& requests, TimePoint& last, TimePoint now) {
  requests = DecayedTo(requests, last, now) + 1;
  last = now;
}

FairShare::Entry& FairShare::Find(const TenantName& tenant, int priority,
                                  std::optional<double> usual_fraction, TimePoint now) {
  std::uint64_t key = Hash64(tenant, static_cast<std::uint64_t>(priority));
  auto found = entries_.find(key);
  if (found == entries_.end()) {
    // Further tenants share one entry per priority.
    if (entries_.size() >= kMaxEntries) {
      key = static_cast<std::uint64_t>(std::clamp(priority, 0, kLastSharedPriority));
    }
    Entry entry;
    if (usual_fraction) entry.usual_fraction = *usual_fraction;
    entry.priority = priority;
    entry.last = now;
    entry.probability = std::max(UnboundedProbability(entry), LeastProbability());
    // Random, so that many tenants with one request each get their probability as well.
    entry.credit = random_.NextDouble();
    found = entries_.try_emplace(key, entry).first;
  }
  if (usual_fraction) found->second.usual_fraction = *usual_fraction;
  return found->second;
}

FairShareDecision FairShare::Admit(const TenantName& tenant, int priority,
                                   std::optional<double> usual_fraction, TimePoint now) {
  if (now >= next_update_) Update(now);
  Entry& entry = Find(tenant, priority, usual_fraction, now);
  Count(entry.requests, entry.last, now);
  entry.credit += entry.probability;
  if (entry.credit < 1) return FairShareDecision::kAdmitIfSpare;
  entry.credit -= 1;
  bool limited = entry.probability < kFirstFraction * greatest_probability_;
  return limited ? FairShareDecision::kAdmit : FairShareDecision::kAdmitFirst;
}

void FairShare::OnServed(TimePoint now) { Count(served_, served_at_, now); }

void FairShare::OnTurnedAway(TimePoint now) {
  turned_away_ = true;
  last_turned_away_ = now;
}

bool FairShare::IsIdle(TimePoint now) const { return now - last_turned_away_ >= kIdleTime; }

double FairShare::TotalRequests(TimePoint now) {
  double total = 0;
  for (auto& [key, entry] : entries_) {
    entry.requests = DecayedTo(entry.requests, entry.last, now);
    entry.last = now;
    total += entry.requests;
  }
  return total;
}

void FairShare::Update(TimePoint now) {
  next_update_ = now + kUpdateInterval;
  double total = TotalRequests(now);
  if (turned_away_) {
    double served = DecayedTo(served_, served_at_, now);
    capacity_ = std::max(served * kHeadroom, total * kMinCapacityFraction);
  } else {
    capacity_ *= kGrowth;
  }
  turned_away_ = false;
  std::erase_if(entries_, [](const auto& item) { return item.second.requests < kMinRequests; });
  CollectPriorities();
  double low = 0;
  double high = static_cast<double>(priorities_.size()) + 1;
  for (int i = 0; i < kBisections && capacity_ < total; ++i) {
    double middle = (low + high) / 2;
    (AdmittedAt(middle) > capacity_ ? high : low) = middle;
  }
  SetLevel(high);
}

void FairShare::CollectPriorities() {
  std::set<int> priorities;
  for (const auto& [key, entry] : entries_) priorities.insert(entry.priority);
  priorities_.assign(priorities.begin(), priorities.end());
}

// Requests are served up to a level, by rank: those of the most urgent priority at levels from 0 to
// 1, those of the next priority from 1 to 2, and those far above the usual use after all
// priorities.
double FairShare::UnboundedProbability(const Entry& entry) const {
  auto place = std::lower_bound(priorities_.begin(), priorities_.end(), entry.priority);
  auto rank = static_cast<double>(std::distance(priorities_.begin(), place));
  double usual = std::clamp(level_ - rank, 0.0, 1.0);
  double above = std::clamp(level_ - static_cast<double>(priorities_.size()), 0.0, 1.0);
  return entry.usual_fraction * usual + (1 - entry.usual_fraction) * above;
}

double FairShare::LeastProbability() const { return kLeastShare * greatest_probability_; }

void FairShare::SetLevel(double level) {
  level_ = level;
  greatest_probability_ = 0;
  for (auto& [key, entry] : entries_) {
    entry.probability = UnboundedProbability(entry);
    greatest_probability_ = std::max(greatest_probability_, entry.probability);
  }
  for (auto& [key, entry] : entries_) {
    entry.probability = std::max(entry.probability, LeastProbability());
  }
}

double FairShare::AdmittedAt(double level) {
  SetLevel(level);
  double admitted = 0;
  for (const auto& [key, entry] : entries_) admitted += entry.requests * entry.probability;
  return admitted;
}

}  // namespace damaskroute
