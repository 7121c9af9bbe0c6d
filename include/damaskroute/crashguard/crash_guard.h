#ifndef DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"
#include "damaskroute/crashguard/blocked_request.h"
#include "damaskroute/crashguard/crash_mode.h"
#include "damaskroute/crashguard/crash_record.h"

namespace damaskroute {

/// Settings of `CrashGuard`. The defaults are those of queries over replicated shards.
struct CrashGuardSettings {
  /// How long after its last crash a request stays suspect or blocked, and new requests of its
  /// service run as canaries. A request that was blocked runs as a canary for as long again.
  std::chrono::minutes suspicion_period{10};
  /// Maximum number of tracked suspect requests, about 100 bytes each.
  std::size_t max_suspects = 10'000;
  /// Slots in the table of successful requests, 8 bytes each.
  std::size_t known_good_slots = 1 << 16;
  /// Number of crashes from which a request runs as a canary.
  std::size_t crashes_to_suspect = 1;
  /// Number of crashes that block a request.
  std::size_t crashes_to_block = 2;
  /// The same for a request that has succeeded on this node before. With one fewer for each, and
  /// connections that break without a crash in one of five calls, every frequent request would be
  /// blocked within minutes.
  std::size_t crashes_to_block_known_good = 4;
  /// Whether only successive losses count for blocking; see `CrashRecord::CountSuccessiveLosses`.
  bool only_successive_losses_block = false;
  /// If only successive losses block: the number of them that blocks a request for `short_block`
  /// if it has lost `crashes_to_block` servers in all.
  std::size_t successive_losses_to_block_briefly = std::numeric_limits<std::size_t>::max();
  /// Two successive losses may be two outages that a harmless request met, so it is tried again
  /// soon; by then servers have restarted, so a third loss has another cause than the first two.
  std::chrono::seconds short_block{5};
  /// Time between the ends of a block at two nodes that follow each other in the request's order of
  /// the nodes: the first one learns from its canary whether the request still crashes servers, and
  /// the others hear of it. Without it, callers that were all told the end of the block had their
  /// retries crash a server at each of 4 nodes at once.
  std::chrono::seconds canary_interval{1};
  /// Limit of the time between the ends at the first and the last node.
  std::chrono::seconds max_canary_delay{8};
  /// Whether new requests of a service run as canaries after a crash of another request.
  bool canaries_after_crash = true;
};

/// Stops requests that crash the backend servers which run them ("query of death"). One per node;
/// thread-safe. `Check` and `OnSuccess` are lock-free while no crash is within the suspicion
/// period.
///
/// A request that may have crashed a backend server is a suspect. It runs as a canary: a single
/// call that must succeed before the rest of the query is sent. Further crashes block the request.
///
/// Nodes may exchange what they know as `CrashRecord`s: `TakeChanges` and `Records` return them,
/// and `Merge` adds those of another node.
class CrashGuard {
 public:
  explicit CrashGuard(const CrashGuardSettings& settings);

  /// Sets the nodes that share what they know, and the name of this one. Without names, a block
  /// ends at its nominal time.
  void SetNodes(const NodeName& self, std::vector<NodeName> names);

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

  /// Records a loss with its times, observed by this node. Otherwise as above. Returns whether it
  /// adds knowledge.
  bool OnLoss(const ServiceName& service, std::uint64_t fingerprint, const CrashLoss& loss);

  /// The backend server answered a call that began after its connection loss, so the loss was not a
  /// crash. The loss no longer counts, and requests that are blocked only because of it are
  /// unblocked.
  void OnRefuted(const BackendName& backend, BootId boot_id, TimePoint now);

  /// An incarnation, as a `CrashLoss` states it, answered a call that began at `sent`. Refutes its
  /// crash like `OnRefuted`, unless another process may have answered under the same name. Cheap
  /// while no crash is within the suspicion period.
  void OnAnswer(std::uint64_t incarnation, TimePoint sent, TimePoint now);

  /// When the incarnation was last lost, as far as this node has heard; epoch if never.
  TimePoint LostAt(std::uint64_t incarnation, TimePoint now) const;

  /// Whether the request may have crashed backend servers, so that it runs as a canary or not at
  /// all. Unlike `Check`, begins nothing.
  bool IsSuspect(const ServiceName& service, std::uint64_t fingerprint, TimePoint now) const;

  /// How long a blocked request stays blocked; zero if it is not blocked.
  Duration BlockedFor(const ServiceName& service, std::uint64_t fingerprint, TimePoint now) const;

  /// Whether the request succeeded on this node and is still in the table. Lock-free.
  bool HasSucceeded(const ServiceName& service, std::uint64_t fingerprint) const {
    return IsKnownGood(KeyOf(service, fingerprint));
  }

  /// A backend server broke the connection during an action. Blocks the request.
  void OnActionCrash(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A query ended with rows. Clears the suspicion, except that of an action.
  void OnSuccess(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// A query ended without rows.
  void OnEnd(const ServiceName& service, std::uint64_t fingerprint, TimePoint now);

  /// Number of requests with losses that may be crashes, and of actions that crashed a server.
  std::size_t suspects() const;

  /// Whether any request is suspect or blocked.
  bool HasSuspects(TimePoint now) const;

  /// Number of blocked requests.
  std::size_t blocked(TimePoint now) const;

  /// Returns at most `max` records with knowledge that was added since the last call. More remain
  /// for the next call.
  std::vector<CrashRecord> TakeChanges(std::size_t max);

  /// Returns at most `max` records that are within the suspicion period. If there are more,
  /// successive calls return different ones.
  std::vector<CrashRecord> Records(std::size_t max, TimePoint now);

  /// Adds the knowledge of another node's record. Returns what this node knows beyond it, if
  /// anything.
  std::optional<CrashRecord> Merge(const CrashRecord& record, TimePoint now);

  /// Returns at most `max` blocked requests.
  std::vector<BlockedRequest> BlockedRequests(std::size_t max, TimePoint now) const;

  /// What is known about a request, if anything.
  std::optional<CrashRecord> RecordOf(const ServiceName& service, std::uint64_t fingerprint) const;

  /// Whether there is knowledge for `TakeChanges`.
  bool has_changes() const;

 private:
  struct Suspect {
    CrashRecord record;
    bool lost_here = false;  // Whether this node has seen one of the losses.
    TimePoint action_crash;  // Epoch if no action crashed.
    bool canary_runs = false;
    TimePoint canary_since;
  };

  static std::uint64_t KeyOf(const ServiceName& service, std::uint64_t fingerprint);
  bool HasNoRecentCrash(TimePoint now) const {
    return now.time_since_epoch().count() >= suspicion_until_.load(std::memory_order_relaxed);
  }
  bool IsKnownGood(std::uint64_t key) const;
  bool ReachesBlockThreshold(const Suspect& suspect) const;
  bool ReachesShortBlockThreshold(const Suspect& suspect) const;
  TimePoint BlockedUntil(const Suspect& suspect) const;
  Duration CanaryDelay(std::uint64_t request) const;
  bool IsBlocked(const Suspect& suspect, TimePoint now) const {
    return now < BlockedUntil(suspect);
  }
  bool IsSuspect(const Suspect& suspect, TimePoint now) const;
  TimePoint ForgottenAt(const Suspect& suspect) const;
  Suspect& GetOrAddSuspect(std::uint64_t key, TimePoint now);
  void OnLossAdded(const Suspect& suspect, const CrashLoss& loss);
  template <typename IsRefuted>
  void MarkSurvived(std::uint64_t incarnation, const IsRefuted& is_refuted);
  void ExtendSuspicion(TimePoint until);
  void EvictSuspects(TimePoint now);

  const CrashGuardSettings settings_;
  // Fixed-size table indexed by hash. A request displaced by another one is treated as unknown,
  // which costs it one sequential call while its service runs canaries.
  std::vector<std::atomic<std::uint64_t>> known_good_;
  std::atomic<Duration::rep> suspicion_until_{0};
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, Suspect> suspects_;
  std::unordered_map<std::uint64_t, TimePoint> lost_;  // Latest loss by incarnation.
  std::set<std::uint64_t> changed_;                    // Keys for `TakeChanges`.
  std::uint64_t next_record_ = 0;                      // Where `Records` continues.
  NodeName self_;
  std::vector<NodeName> nodes_;
  // Until when the new requests of a service run as canaries.
  std::unordered_map<ServiceName, TimePoint> services_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_GUARD_H_
