#ifndef DAMASKROUTE_STORE_FEED_SCHEDULE_H_
#define DAMASKROUTE_STORE_FEED_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/feed_options.h"
#include "damaskroute/store/feed_step.h"

namespace damaskroute {

/// Size of the changes that a watch returned.
struct BatchSize {
  std::size_t changes = 0;
  std::size_t bytes = 0;  ///< Total size of keys and values.
};

/// Decides how a node follows a store: reads all items once, then watches for changes in batches;
/// reads all items again when the store no longer has the history; backs off while the store cannot
/// be reached. Calls to the store are priced, so in a large zone the node follows another node (a
/// relay) instead, as long as that node is as up to date as a watch of the store would be.
///
/// Revisions are ordered only within an era of the store. When the store was restored from an older
/// copy, which begins a new era, the node reads all items again, and follows only nodes that have
/// done so as well.
///
/// Changes arrive in pages in the order of their revisions. A node that is many changes behind
/// fetches page after page without pauses and reads the operator directives (configuration and zone
/// evacuation) after each page, so these never wait behind thousands of server entries.
class FeedSchedule {
 public:
  FeedSchedule(const FeedOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  /// How the era of a response relates to the known one.
  enum class EraOrder : std::uint8_t {
    kCurrent,
    kNew,       ///< The store was restored. All items have to be read again.
    kOutdated,  ///< The response is from before a restore; it must be ignored.
  };

  /// Returns the next step. To be called after each event and at the end of a pause.
  FeedStep Next(TimePoint now) const;

  /// A page was read. The watch afterwards starts from the revision of the first page, because the
  /// pages do not form a consistent snapshot.
  void OnPage(const std::string& last_key, bool has_more, std::uint64_t as_of, TimePoint now);

  /// A watch ended, with changes up to revision `as_of` or with none.
  void OnChanges(BatchSize batch, std::uint64_t as_of, TimePoint now);

  /// The operator directives were read.
  void OnDirectives(TimePoint now);

  /// Whether changes are expected soon, which selects the shorter batch delay.
  void SetEager(bool eager) { eager_ = eager; }
  bool is_eager() const { return eager_; }

  /// Sets when the configuration reaches its maximum age: the next call has to end before, so waits
  /// and pauses are shortened. Absent if the age has no limit now.
  void SetRefreshBy(std::optional<TimePoint> refresh_by) { refresh_by_ = refresh_by; }

  /// The store no longer has the changes that follow the known revision.
  void OnHistoryLost(TimePoint now);

  /// The store stated its era in a response. To be called before the response is handled; if the
  /// era is not current, instead.
  EraOrder OnEra(std::uint64_t era, TimePoint now);

  /// Number of restores of the store, as it states it; 0 before its first response.
  std::uint64_t era() const { return era_; }

  /// Sets the number of nodes that may be followed instead of the store; 0 to follow the store.
  void SetRelays(std::size_t relay_count);

  /// A followed node returned its changes, which the store confirmed `age` ago. `is_certain`: the
  /// age of its configuration is known and low enough; otherwise the next node is followed.
  void OnRelayChanges(std::uint64_t as_of, Duration age, TimePoint now, bool is_certain = true);

  /// A followed node did not respond, or its data is too old: the next one is followed.
  void OnRelayFailure(TimePoint now);

  /// A followed node no longer has the changes that follow the known revision, or they are of
  /// another era.
  void OnRelayHistoryLost() { direct_once_ = true; }

  /// Whether the last watch returned a large batch, so that more changes may be waiting.
  bool is_behind() const { return behind_; }

  /// Latest known revision of the store.
  std::uint64_t revision() const { return revision_; }

  /// A call failed or got no response. `overdue`: how long it ran beyond the requested wait.
  void OnFailure(Duration overdue, TimePoint now);

  /// Number of consecutive failures.
  int failures() const { return failures_; }

  /// Whether the store counts as unreachable.
  bool in_outage() const { return outage_; }

  /// Whether entries that are missing now may have expired during an outage that is in progress or
  /// has just ended, or may be missing only in the copy from which the store was restored.
  bool is_recovering(TimePoint now) const { return outage_ || now < recovering_until_; }

 private:
  void OnSuccess(TimePoint now);
  TimePoint PauseUntil() const;
  std::chrono::milliseconds LimitWait(std::chrono::milliseconds wait, Duration reserve,
                                      TimePoint now) const;
  bool IsRefreshDue(TimePoint now) const;
  bool ShouldFollow(TimePoint now) const;
  TimePoint StaleAt() const { return confirmed_at_ + options_.max_relay_age; }

  const FeedOptions options_;
  Random random_;
  bool reading_ = true;
  std::string after_key_;
  std::uint64_t era_ = 0;
  std::uint64_t first_as_of_ = 0;
  std::uint64_t revision_ = 0;
  TimePoint retry_at_;     // After a failure.
  TimePoint changed_at_;   // When the last watch ended.
  bool batching_ = false;  // Waiting for further changes since then.
  bool behind_ = false;
  bool directives_due_ = false;  // Only while behind.
  bool eager_ = false;
  int failures_ = 0;
  bool outage_ = false;
  TimePoint recovering_until_;
  std::size_t relay_count_ = 0;
  std::size_t relay_index_ = 0;    // Index of the followed relay.
  std::size_t failed_relays_ = 0;  // Number of consecutive failures.
  TimePoint direct_until_;
  bool direct_once_ = false;
  TimePoint confirmed_at_;
  std::optional<TimePoint> refresh_by_;
  TimePoint directives_at_;  // When the directives were last read alone.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_SCHEDULE_H_
