#ifndef DAMASKROUTE_STORE_FEED_SCHEDULE_H_
#define DAMASKROUTE_STORE_FEED_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "damaskroute/store/feed_options.h"
#include "damaskroute/store/feed_step.h"

namespace damaskroute {

/// Size of the changes that a watch gave.
struct BatchSize {
  std::size_t changes = 0;
  std::size_t bytes = 0;  ///< Of keys and values.
};

/// Decides how a node follows a store: reads everything once, then watches for changes and lets
/// them gather; reads everything again when the store has dropped the history; backs off while the
/// store cannot be reached. In a large zone it follows another node in place of the store, whose
/// calls are priced, for as long as that node is as up to date as the store's own watch would be.
///
/// Changes come in pages in the order of their revisions, so a node that is many changes behind
/// fetches page after page without pauses, and reads the operator's keys after each of them: routes
/// and zones to be left never wait behind thousands of server entries.
class FeedSchedule {
 public:
  FeedSchedule(const FeedOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  /// The next step. Ask after each event and at the end of a pause.
  FeedStep Next(TimePoint now) const;

  /// A page was read. The changes since the first page are watched afterwards, as pages are not one
  /// snapshot.
  void OnPage(const std::string& last_key, bool has_more, std::uint64_t as_of, TimePoint now);

  /// A watch ended with changes that lead up to `as_of`, or with none.
  void OnChanges(BatchSize batch, std::uint64_t as_of, TimePoint now);

  /// The operator's keys were read.
  void OnOrders(TimePoint now);

  /// Whether changes are awaited, so that they gather for a shorter time.
  void SetEager(bool eager) { eager_ = eager; }
  bool is_eager() const { return eager_; }

  /// The store no longer has the changes after the known revision.
  void OnHistoryLost(TimePoint now);

  /// Other nodes that may be followed instead of the store; 0 to follow the store.
  void SetRelays(std::size_t relays);

  /// A followed node gave what the store confirmed `age` ago.
  void OnFollowed(std::uint64_t as_of, Duration age, TimePoint now);

  /// A followed node gave no answer, or one that is too old: the next one is followed.
  void OnFollowFailure(TimePoint now);

  /// A followed node does not know the changes after the known revision.
  void OnFollowForgotten() { direct_once_ = true; }

  /// Whether more changes are known to exist than were fetched so far.
  bool is_behind() const { return behind_; }

  /// Revision of the store that is known.
  std::uint64_t revision() const { return revision_; }

  /// A call failed or got no answer. `silence`: how long it ran beyond the time for which the store
  /// was asked to hold it.
  void OnFailure(Duration silence, TimePoint now);

  /// Whether the store has not answered for a while.
  bool in_outage() const { return outage_; }

  /// Whether what is missing now may have lapsed during an outage that has just ended.
  bool just_returned(TimePoint now) const { return outage_ || now < returned_until_; }

 private:
  void OnSuccess(TimePoint now);
  TimePoint PauseUntil() const;
  bool Follows(TimePoint now) const;
  TimePoint StaleAt() const { return confirmed_ + options_.longest_age; }

  const FeedOptions options_;
  Random random_;
  bool reading_ = true;
  std::string after_key_;
  std::uint64_t first_as_of_ = 0;
  std::uint64_t revision_ = 0;
  TimePoint retry_at_;      // After a failure.
  TimePoint changed_at_;    // When changes were given last.
  bool gathering_ = false;  // Since then.
  bool behind_ = false;
  bool orders_due_ = false;  // While behind.
  bool eager_ = false;
  int failures_ = 0;
  bool outage_ = false;
  TimePoint returned_until_;
  std::size_t relays_ = 0;
  std::size_t relay_ = 0;          // The one that is followed.
  std::size_t failed_relays_ = 0;  // In a row.
  TimePoint direct_until_;
  bool direct_once_ = false;
  TimePoint confirmed_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_SCHEDULE_H_
