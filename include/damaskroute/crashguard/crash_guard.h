#ifndef DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/crashguard/crash_mode.h"

namespace damaskroute {

/// Settings of `CrashGuard`.
struct CrashGuardSettings {
  /// How long a request is suspect or blocked, and a service is careful, after the last crash.
  std::chrono::minutes memory{10};
  /// Requests under suspicion that are remembered, 64 bytes each or so.
  std::size_t max_suspects = 10'000;
  /// Slots for the requests that succeeded, 8 bytes each.
  std::size_t known_good_slots = 1 << 16;
};

/// Keeps a request that crashes the backend servers which run it from taking more of them. One per
/// node; safe for use by several threads. Without a crash in the last minutes `Check` and
/// `OnSuccess` are lock-free.
class CrashGuard {
 public:
  explicit CrashGuard(const CrashGuardSettings& settings);

  /// How a query may run now. After `kCanary`, `OnSuccess` or `OnEnd` must follow.
  CrashMode Check(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A backend server broke the connection during a call of a query without rows, as seen here or
  /// in the `CrashReport` of a peer. Reports may arrive repeatedly and in any order. Two different
  /// starts of backend servers without a success between them block the request.
  ///
  /// `after_success`: the request had succeeded before, and this was no canary. Such a report makes
  /// it suspect but does not complete a block, because a lost zone breaks all calls of an innocent
  /// query with a small fan-out at once. Its canary decides.
  void OnCrash(const ServiceName& service, std::uint64_t fingerprint, const BackendName& backend,
               BootId boot_id, TimePoint now, bool after_success = false);

  /// The backend server answered a call that began after its loss, so that loss was no crash. It
  /// counts no longer, and a request that it helped to block is free again.
  void OnRefuted(const BackendName& backend, BootId boot_id, TimePoint now);

  /// Whether the request succeeded here and was not displaced since. Lock-free.
  bool HasSucceeded(const ServiceName& service, std::uint64_t fingerprint) const {
    return IsKnownGood(KeyOf(service, fingerprint));
  }

  /// A backend server broke the connection during an action, which blocks it.
  void OnActionCrash(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A query ended with rows, which clears it unless it is blocked.
  void OnSuccess(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A query ended without rows.
  void OnEnd(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// Requests under suspicion or blocked.
  std::size_t suspects() const;

 private:
  struct Suspect {
    TimePoint until;
    // Hashes of backend server and boot id, without a success between them.
    std::vector<std::uint64_t> crashes;
    bool blocked = false;
    bool action = false;  // Blocked for good: an action must not run twice.
    bool canary_runs = false;
    TimePoint canary_since;
  };

  static std::uint64_t KeyOf(const ServiceName& service, std::uint64_t fingerprint);
  bool IsCalm(TimePoint now) const {
    return now.time_since_epoch().count() >= careful_until_.load(std::memory_order_relaxed);
  }
  bool IsKnownGood(std::uint64_t key) const;
  bool EnoughToBlock(std::uint64_t key, const Suspect& suspect) const;
  Suspect& Remember(const ServiceName& service, std::uint64_t key, TimePoint now);
  void MakeRoom(TimePoint now);

  const CrashGuardSettings settings_;
  // Fixed table indexed by hash: a request that another one displaced is treated as unknown, which
  // costs it one sequential call while the service is careful.
  std::vector<std::atomic<std::uint64_t>> known_good_;
  std::atomic<Duration::rep> careful_until_{0};
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, Suspect> suspects_;
  std::unordered_map<ServiceName, TimePoint> services_;  // Careful until then.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_
