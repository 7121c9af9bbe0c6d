#include "damaskroute/crashguard/crash_guard.h"

#include <algorithm>
#include <iterator>

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

// After this time a canary without a reported end no longer delays other requests. Equals the
// longest deadline of a caller.
constexpr Duration kMaxCanaryDuration = std::chrono::seconds(60);

// A request that has succeeded before is blocked after this many consecutive crashes beyond the
// first. With a limit of one, and connections that break without a crash in one of five calls,
// every frequent request would be blocked within minutes.
constexpr std::size_t kFurtherCrashesAfterSuccess = 3;

// Crashes recorded per request. Several times the blocking threshold, because nodes that have not
// received each other's reports add their own crashes, and any of them can be refuted.
constexpr std::size_t kMaxCrashes = 32;

}  // namespace

CrashGuard::CrashGuard(const CrashGuardSettings& settings)
    : settings_(settings), known_good_(std::max<std::size_t>(settings.known_good_slots, 1)) {}

std::uint64_t CrashGuard::KeyOf(const ServiceName& service, std::uint64_t fingerprint) {
  // 0 denotes an empty slot.
  return std::max<std::uint64_t>(Hash64(service, fingerprint), 1);
}

bool CrashGuard::IsKnownGood(std::uint64_t key) const {
  return known_good_[key % known_good_.size()].load(std::memory_order_relaxed) == key;
}

CrashMode CrashGuard::Check(const ServiceName& service, std::uint64_t fingerprint, TimePoint now) {
  if (HasNoRecentCrash(now)) return CrashMode::kNormal;
  std::uint64_t key = KeyOf(service, fingerprint);
  std::lock_guard lock(mutex_);
  if (auto it = suspects_.find(key); it != suspects_.end() && now < it->second.until) {
    Suspect& suspect = it->second;
    if (suspect.blocked) return CrashMode::kBlocked;
    if (suspect.canary_runs && now - suspect.canary_since < kMaxCanaryDuration) {
      return CrashMode::kWait;
    }
    suspect.canary_runs = true;
    suspect.canary_since = now;
    return CrashMode::kCanary;
  }
  auto canaries = services_.find(service);
  if (canaries == services_.end() || now >= canaries->second || IsKnownGood(key)) {
    return CrashMode::kNormal;
  }
  return CrashMode::kCanary;
}

void CrashGuard::OnCrash(const ServiceName& service, std::uint64_t fingerprint,
                         const BackendName& backend, BootId boot_id, TimePoint now,
                         bool after_success) {
  std::lock_guard lock(mutex_);
  std::uint64_t key = KeyOf(service, fingerprint);
  Suspect& suspect = GetOrAddSuspect(service, key, now);
  std::uint64_t crash = Hash64(backend, boot_id);
  bool counts =
      suspect.crashes.empty() ||
      (!after_success && suspect.crashes.size() < kMaxCrashes &&
       std::find(suspect.crashes.begin(), suspect.crashes.end(), crash) == suspect.crashes.end());
  if (counts) suspect.crashes.push_back(crash);
  if (ReachesBlockThreshold(key, suspect)) suspect.blocked = true;
}

bool CrashGuard::ReachesBlockThreshold(std::uint64_t key, const Suspect& suspect) const {
  std::size_t further = IsKnownGood(key) ? kFurtherCrashesAfterSuccess : 1;
  return suspect.crashes.size() > further;
}

void CrashGuard::OnRefuted(const BackendName& backend, BootId boot_id, TimePoint now) {
  if (HasNoRecentCrash(now)) return;
  std::uint64_t crash = Hash64(backend, boot_id);
  std::lock_guard lock(mutex_);
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    bool counted = std::erase(suspect.crashes, crash) > 0;
    if (counted && !suspect.action) suspect.blocked = ReachesBlockThreshold(it->first, suspect);
    bool cleared = counted && !suspect.action && suspect.crashes.empty();
    it = cleared ? suspects_.erase(it) : std::next(it);
  }
}

void CrashGuard::OnActionCrash(const ServiceName& service, std::uint64_t fingerprint,
                               TimePoint now) {
  std::lock_guard lock(mutex_);
  Suspect& suspect = GetOrAddSuspect(service, KeyOf(service, fingerprint), now);
  suspect.action = true;
  suspect.blocked = true;
}

void CrashGuard::OnSuccess(const ServiceName& service, std::uint64_t fingerprint, TimePoint now) {
  std::uint64_t key = KeyOf(service, fingerprint);
  std::atomic<std::uint64_t>& slot = known_good_[key % known_good_.size()];
  if (slot.load(std::memory_order_relaxed) != key) slot.store(key, std::memory_order_relaxed);
  if (HasNoRecentCrash(now)) return;
  std::lock_guard lock(mutex_);
  if (auto it = suspects_.find(key); it != suspects_.end() && !it->second.blocked) {
    suspects_.erase(it);
  }
}

void CrashGuard::OnEnd(const ServiceName& service, std::uint64_t fingerprint, TimePoint now) {
  if (HasNoRecentCrash(now)) return;
  std::lock_guard lock(mutex_);
  if (auto it = suspects_.find(KeyOf(service, fingerprint)); it != suspects_.end()) {
    it->second.canary_runs = false;
  }
}

std::size_t CrashGuard::suspects() const {
  std::lock_guard lock(mutex_);
  return suspects_.size();
}

CrashGuard::Suspect& CrashGuard::GetOrAddSuspect(const ServiceName& service, std::uint64_t key,
                                                 TimePoint now) {
  TimePoint until = now + settings_.suspicion_period;
  services_[service] = until;
  canaries_until_.store(until.time_since_epoch().count(), std::memory_order_relaxed);
  auto it = suspects_.find(key);
  if (it == suspects_.end()) {
    if (suspects_.size() >= settings_.max_suspects) EvictSuspects(now);
    it = suspects_.try_emplace(key).first;
  } else if (now >= it->second.until) {
    it->second = {};
  }
  it->second.until = until;
  return it->second;
}

// Removes expired suspects. If the table is still full, evicts a tenth of it, unblocked and oldest
// suspects first. Evicting a tenth at a time keeps the amortized cost per report small.
void CrashGuard::EvictSuspects(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& entry) { return now >= entry.second.until; });
  std::erase_if(services_, [&](const auto& entry) { return now >= entry.second; });
  if (suspects_.size() < settings_.max_suspects) return;
  std::vector<std::pair<std::pair<bool, TimePoint>, std::uint64_t>> order;
  order.reserve(suspects_.size());
  for (const auto& [key, suspect] : suspects_) {
    order.push_back({{suspect.blocked, suspect.until}, key});
  }
  std::size_t surplus = std::max<std::size_t>(order.size() / 10, 1);
  std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(surplus) - 1,
                   order.end());
  for (std::size_t i = 0; i < surplus; ++i) suspects_.erase(order[i].second);
}

}  // namespace damaskroute
