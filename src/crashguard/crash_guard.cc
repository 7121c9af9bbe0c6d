#include "damaskroute/crashguard/crash_guard.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

// After this time a canary without a reported end no longer delays other requests. Equals the
// longest deadline of a caller.
constexpr Duration kMaxCanaryDuration = std::chrono::seconds(60);

// A process that has crashed does not answer again within this time.
constexpr std::chrono::seconds kMinRestartTime{1};

// After this time a node knows whether another process has taken over the name of a crashed one.
constexpr std::chrono::seconds kMaxReplacementDelay{10};

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
  if (auto it = suspects_.find(key); it != suspects_.end() && IsSuspect(it->second, now)) {
    Suspect& suspect = it->second;
    if (IsBlocked(suspect, now)) return CrashMode::kBlocked;
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
  if (after_success && IsSuspect(service, fingerprint, now)) return;
  std::uint64_t incarnation = Hash64(backend, boot_id);
  OnLoss(service, fingerprint, {incarnation, incarnation, now, now});
}

bool CrashGuard::OnLoss(const ServiceName& service, std::uint64_t fingerprint,
                        const CrashLoss& loss) {
  std::lock_guard lock(mutex_);
  std::uint64_t key = KeyOf(service, fingerprint);
  Suspect& suspect = GetOrAddSuspect(key, loss.lost);
  suspect.lost_here = true;
  bool changed = suspect.record.Add(loss);
  OnLossAdded(suspect, loss);
  if (changed) changed_.insert(key);
  if (settings_.canaries_after_crash) services_[service] = loss.lost + settings_.suspicion_period;
  return changed;
}

void CrashGuard::OnLossAdded(const Suspect& suspect, const CrashLoss& loss) {
  TimePoint& latest = lost_[loss.incarnation];
  latest = std::max(latest, loss.lost);
  ExtendSuspicion(ForgottenAt(suspect));
}

void CrashGuard::ExtendSuspicion(TimePoint until) {
  Duration::rep count = until.time_since_epoch().count();
  if (count > suspicion_until_.load(std::memory_order_relaxed)) {
    suspicion_until_.store(count, std::memory_order_relaxed);
  }
}

bool CrashGuard::ReachesBlockThreshold(const Suspect& suspect) const {
  std::size_t crashes = settings_.only_successive_losses_block
                            ? suspect.record.CountSuccessiveLosses()
                            : suspect.record.CountLosses();
  return crashes >= (IsKnownGood(suspect.record.request) ? settings_.crashes_to_block_known_good
                                                         : settings_.crashes_to_block);
}

bool CrashGuard::ReachesShortBlockThreshold(const Suspect& suspect) const {
  return settings_.only_successive_losses_block &&
         suspect.record.CountLosses() >= settings_.crashes_to_block &&
         suspect.record.CountSuccessiveLosses() >= settings_.successive_losses_to_block_briefly;
}

TimePoint CrashGuard::BlockedUntil(const Suspect& suspect) const {
  TimePoint until;
  if (suspect.action_crash != TimePoint()) {
    until = suspect.action_crash + settings_.suspicion_period;
  }
  if (ReachesBlockThreshold(suspect)) {
    until = std::max(until, suspect.record.LastLoss() + settings_.suspicion_period +
                                CanaryDelay(suspect.record.request));
  } else if (ReachesShortBlockThreshold(suspect)) {
    until = std::max(until, suspect.record.LastLoss() + settings_.short_block +
                                CanaryDelay(suspect.record.request));
  }
  return until;
}

void CrashGuard::SetNodes(const NodeName& self, std::vector<NodeName> names) {
  std::lock_guard lock(mutex_);
  self_ = self;
  nodes_ = std::move(names);
}

// The order of the nodes differs by request, so that no node runs all canaries first.
Duration CrashGuard::CanaryDelay(std::uint64_t request) const {
  if (nodes_.size() < 2) return Duration::zero();
  std::uint64_t own = Hash64(self_, request);
  auto before = std::count_if(nodes_.begin(), nodes_.end(),
                              [&](const NodeName& node) { return Hash64(node, request) < own; });
  auto last = static_cast<std::int64_t>(nodes_.size()) - 1;
  Duration longest =
      std::min<Duration>(settings_.canary_interval * last, settings_.max_canary_delay);
  return longest * std::min<std::int64_t>(before, last) / last;
}

bool CrashGuard::IsSuspect(const Suspect& suspect, TimePoint now) const {
  if (suspect.action_crash != TimePoint() && now < ForgottenAt(suspect)) return true;
  if (suspect.record.losses.size() < settings_.crashes_to_suspect) return false;
  if (suspect.record.CountLosses() < settings_.crashes_to_suspect) return false;
  int periods = ReachesBlockThreshold(suspect) ? 2 : 1;
  return now < suspect.record.LastLoss() + periods * settings_.suspicion_period;
}

TimePoint CrashGuard::ForgottenAt(const Suspect& suspect) const {
  TimePoint last = std::max(suspect.action_crash, suspect.record.answered);
  for (const CrashLoss& loss : suspect.record.losses) last = std::max(last, loss.lost);
  return last + 2 * settings_.suspicion_period;
}

bool CrashGuard::IsSuspect(const ServiceName& service, std::uint64_t fingerprint,
                           TimePoint now) const {
  if (HasNoRecentCrash(now)) return false;
  std::lock_guard lock(mutex_);
  auto it = suspects_.find(KeyOf(service, fingerprint));
  return it != suspects_.end() && IsSuspect(it->second, now);
}

Duration CrashGuard::BlockedFor(const ServiceName& service, std::uint64_t fingerprint,
                                TimePoint now) const {
  if (HasNoRecentCrash(now)) return Duration::zero();
  std::lock_guard lock(mutex_);
  auto it = suspects_.find(KeyOf(service, fingerprint));
  if (it == suspects_.end()) return Duration::zero();
  return std::max(BlockedUntil(it->second) - now, Duration::zero());
}

void CrashGuard::OnRefuted(const BackendName& backend, BootId boot_id, TimePoint now) {
  if (HasNoRecentCrash(now)) return;
  std::lock_guard lock(mutex_);
  MarkSurvived(Hash64(backend, boot_id), [](TimePoint) { return true; });
}

void CrashGuard::OnAnswer(std::uint64_t incarnation, TimePoint sent, TimePoint now) {
  if (HasNoRecentCrash(now)) return;
  std::lock_guard lock(mutex_);
  // Between these times a process that replaced a crashed one may answer under its name.
  auto is_refuted = [sent](TimePoint lost) {
    return (sent >= lost && sent < lost + kMinRestartTime) || sent > lost + kMaxReplacementDelay;
  };
  auto latest = lost_.find(incarnation);
  if (latest != lost_.end() && is_refuted(latest->second)) MarkSurvived(incarnation, is_refuted);
}

TimePoint CrashGuard::LostAt(std::uint64_t incarnation, TimePoint now) const {
  if (HasNoRecentCrash(now)) return {};
  std::lock_guard lock(mutex_);
  auto found = lost_.find(incarnation);
  return found == lost_.end() ? TimePoint() : found->second;
}

// Marks the losses of the incarnation for whose times `is_refuted` returns true.
template <typename IsRefuted>
void CrashGuard::MarkSurvived(std::uint64_t incarnation, const IsRefuted& is_refuted) {
  bool unresolved = false;
  for (auto& [key, suspect] : suspects_) {
    for (CrashLoss& loss : suspect.record.losses) {
      if (loss.incarnation != incarnation || loss.survived) continue;
      if (is_refuted(loss.lost)) {
        loss.survived = true;
        changed_.insert(key);
      } else {
        unresolved = true;
      }
    }
  }
  if (!unresolved) lost_.erase(incarnation);
}

void CrashGuard::OnActionCrash(const ServiceName& service, std::uint64_t fingerprint,
                               TimePoint now) {
  std::lock_guard lock(mutex_);
  Suspect& suspect = GetOrAddSuspect(KeyOf(service, fingerprint), now);
  suspect.action_crash = now;
  ExtendSuspicion(ForgottenAt(suspect));
  if (settings_.canaries_after_crash) services_[service] = now + settings_.suspicion_period;
}

void CrashGuard::OnSuccess(const ServiceName& service, std::uint64_t fingerprint, TimePoint now) {
  std::uint64_t key = KeyOf(service, fingerprint);
  std::atomic<std::uint64_t>& slot = known_good_[key % known_good_.size()];
  if (slot.load(std::memory_order_relaxed) != key) slot.store(key, std::memory_order_relaxed);
  if (HasNoRecentCrash(now)) return;
  std::lock_guard lock(mutex_);
  auto it = suspects_.find(key);
  if (it == suspects_.end()) return;
  it->second.canary_runs = false;
  if (it->second.record.OnAnswered(now)) changed_.insert(key);
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
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(), [](const auto& entry) {
        const Suspect& suspect = entry.second;
        return suspect.record.CountLosses() > 0 || suspect.action_crash != TimePoint();
      }));
}

std::size_t CrashGuard::blocked(TimePoint now) const {
  if (HasNoRecentCrash(now)) return 0;
  std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [&](const auto& entry) { return IsBlocked(entry.second, now); }));
}

bool CrashGuard::HasSuspects(TimePoint now) const {
  if (HasNoRecentCrash(now)) return false;
  std::lock_guard lock(mutex_);
  return std::any_of(suspects_.begin(), suspects_.end(),
                     [&](const auto& entry) { return IsSuspect(entry.second, now); });
}

std::vector<CrashRecord> CrashGuard::TakeChanges(std::size_t max) {
  std::lock_guard lock(mutex_);
  std::vector<CrashRecord> records;
  while (!changed_.empty() && records.size() < max) {
    auto first = changed_.begin();
    if (auto it = suspects_.find(*first); it != suspects_.end()) {
      records.push_back(it->second.record);
    }
    changed_.erase(first);
  }
  return records;
}

std::vector<CrashRecord> CrashGuard::Records(std::size_t max, TimePoint now) {
  if (HasNoRecentCrash(now)) return {};
  std::lock_guard lock(mutex_);
  std::vector<std::uint64_t> keys;
  for (const auto& [key, suspect] : suspects_) {
    if (IsSuspect(suspect, now) || suspect.record.CountLosses() > 0) keys.push_back(key);
  }
  max = std::min(max, keys.size());
  auto middle = keys.begin() + static_cast<std::ptrdiff_t>(max);
  // Continues behind the last key of the previous call, in a ring.
  std::partial_sort(keys.begin(), middle, keys.end(), [this](std::uint64_t a, std::uint64_t b) {
    return a - next_record_ < b - next_record_;
  });
  if (max > 0) next_record_ = keys[max - 1] + 1;
  std::vector<CrashRecord> records;
  records.reserve(max);
  for (auto key = keys.begin(); key != middle; ++key) records.push_back(suspects_[*key].record);
  return records;
}

std::optional<CrashRecord> CrashGuard::Merge(const CrashRecord& record, TimePoint now) {
  std::lock_guard lock(mutex_);
  auto it = suspects_.find(record.request);
  if (it == suspects_.end()) {
    if (record.CountLosses() == 0) return std::nullopt;
    GetOrAddSuspect(record.request, now);
    it = suspects_.find(record.request);
  }
  Suspect& suspect = it->second;
  if (suspect.record.Merge(record)) {
    changed_.insert(record.request);
    for (const CrashLoss& loss : suspect.record.losses) {
      if (suspect.record.Counts(loss)) OnLossAdded(suspect, loss);
    }
  }
  if (suspect.record.KnowsMoreThan(record)) return suspect.record;
  return std::nullopt;
}

std::vector<BlockedRequest> CrashGuard::BlockedRequests(std::size_t max, TimePoint now) const {
  if (HasNoRecentCrash(now)) return {};
  std::lock_guard lock(mutex_);
  std::vector<BlockedRequest> requests;
  for (const auto& [key, suspect] : suspects_) {
    if (requests.size() >= max) break;
    if (IsBlocked(suspect, now)) requests.push_back({suspect.record, suspect.lost_here});
  }
  return requests;
}

std::optional<CrashRecord> CrashGuard::RecordOf(const ServiceName& service,
                                                std::uint64_t fingerprint) const {
  std::lock_guard lock(mutex_);
  auto found = suspects_.find(KeyOf(service, fingerprint));
  if (found == suspects_.end()) return std::nullopt;
  return found->second.record;
}

bool CrashGuard::has_changes() const {
  std::lock_guard lock(mutex_);
  return !changed_.empty();
}

CrashGuard::Suspect& CrashGuard::GetOrAddSuspect(std::uint64_t key, TimePoint now) {
  auto it = suspects_.find(key);
  if (it == suspects_.end()) {
    if (suspects_.size() >= settings_.max_suspects) EvictSuspects(now);
    it = suspects_.try_emplace(key).first;
  } else if (now >= ForgottenAt(it->second)) {
    it->second = {};
  }
  it->second.record.request = key;
  return it->second;
}

// Removes expired suspects. If the table is still full, evicts a tenth of it, unblocked and oldest
// suspects first. Evicting a tenth at a time keeps the amortized cost per report small.
void CrashGuard::EvictSuspects(TimePoint now) {
  std::erase_if(suspects_, [&](const auto& entry) { return now >= ForgottenAt(entry.second); });
  std::erase_if(services_, [&](const auto& entry) { return now >= entry.second; });
  if (suspects_.size() >= settings_.max_suspects) {
    std::vector<std::pair<std::pair<bool, TimePoint>, std::uint64_t>> order;
    order.reserve(suspects_.size());
    for (const auto& [key, suspect] : suspects_) {
      order.push_back({{IsBlocked(suspect, now), ForgottenAt(suspect)}, key});
    }
    std::size_t surplus = std::max<std::size_t>(order.size() / 10, 1);
    std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(surplus) - 1,
                     order.end());
    for (std::size_t i = 0; i < surplus; ++i) suspects_.erase(order[i].second);
  }
  std::unordered_set<std::uint64_t> tracked;
  for (const auto& [key, suspect] : suspects_) {
    for (const CrashLoss& loss : suspect.record.losses) tracked.insert(loss.incarnation);
  }
  std::erase_if(lost_, [&](const auto& entry) { return !tracked.contains(entry.first); });
}

}  // namespace damaskroute
