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
  /// How long after the last crash a request stays suspect or blocked, and new requests of its
  /// service run as canaries.
  std::chrono::minutes suspicion_period{10};
  /// Maximum number of tracked suspect requests, about 64 bytes each.
  std::size_t max_suspects = 10'000;
  /// Slots in the table of successful requests, 8 bytes each.
  std::size_t known_good_slots = 1 << 16;
};

/// Stops requests that crash the backend servers which run them ("query of death"). One per node;
/// thread-safe. `Check` and `OnSuccess` are lock-free while no crash is within the suspicion
/// period.
///
/// A request that may have crashed a backend server is a suspect. It runs as a canary: a single
/// call that must succeed before the rest of the query is sent. Further crashes block the request.
class CrashGuard {
 public:
  explicit CrashGuard(const CrashGuardSettings& settings);

  /// Returns how a query may run now. After `kCanary`, `OnSuccess` or `OnEnd` must follow.
  CrashMode Check(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// Records that a backend server broke the connection during a call of a query that has no rows,
  /// observed by this node or reported by a peer in a `CrashReport`. Reports may be duplicated and
  /// reordered. Losses of two different incarnations without a success in between block the
  /// request, losses of four if it has succeeded on this node before.
  ///
  /// `after_success`: the request had succeeded before and did not run as a canary. Such a report
  /// makes it a suspect but cannot block it, because an unreachable zone breaks all calls of a
  /// harmless query with a small fan-out at once. The result of its canary decides.
  void OnCrash(const ServiceName& service, std::uint64_t fingerprint, const BackendName& backend,
               BootId boot_id, TimePoint now, bool after_success = false);

  /// The backend server answered a call that began after its connection loss, so the loss was not a
  /// crash. The loss no longer counts, and requests that are blocked only because of it are
  /// unblocked.
  void OnRefuted(const BackendName& backend, BootId boot_id, TimePoint now);

  /// Whether the request succeeded on this node and is still in the table. Lock-free.
  bool HasSucceeded(const ServiceName& service, std::uint64_t fingerprint) const {
    return IsKnownGood(KeyOf(service, fingerprint));
  }

  /// A backend server broke the connection during an action. Blocks the request.
  void OnActionCrash(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A query ended with rows. Clears the suspicion unless the request is blocked.
  void OnSuccess(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A query ended without rows.
  void OnEnd(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// Number of suspect or blocked requests.
  std::size_t suspects() const;

 private:
  struct Suspect {
    TimePoint until;
    // Hashes of backend server and boot id of the losses since the last success.
    std::vector<std::uint64_t> crashes;
    bool blocked = false;
    bool action = false;  // Never unblocked: an action must not run twice.
    bool canary_runs = false;
    TimePoint canary_since;
  };

  static std::uint64_t KeyOf(const ServiceName& service, std::uint64_t fingerprint);
  bool HasNoRecentCrash(TimePoint now) const {
    return now.time_since_epoch().count() >= canaries_until_.load(std::memory_order_relaxed);
  }
  bool IsKnownGood(std::uint64_t key) const;
  bool ReachesBlockThreshold(std::uint64_t key, const Suspect& suspect) const;
  Suspect& GetOrAddSuspect(const ServiceName& service, std::uint64_t key, TimePoint now);
  void EvictSuspects(TimePoint now);

  const CrashGuardSettings settings_;
  // Fixed-size table indexed by hash. A request displaced by another one is treated as unknown,
  // which costs it one sequential call while its service runs canaries.
  std::vector<std::atomic<std::uint64_t>> known_good_;
  std::atomic<Duration::rep> canaries_until_{0};
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, Suspect> suspects_;
  // Until when the new requests of a service run as canaries.
  std::unordered_map<ServiceName, TimePoint> services_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_
