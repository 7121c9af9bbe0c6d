#ifndef DAMASKROUTE_STORE_FEED_OPTIONS_H_
#define DAMASKROUTE_STORE_FEED_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Settings of a `FeedSchedule`.
struct FeedOptions {
  /// Time to wait after a watch returned changes, so that further changes arrive in one batch. Each
  /// watch is a priced call to the store. This delay is limited by the shortest bound within which
  /// changes must be in force.
  std::chrono::milliseconds batch_delay{750};
  /// The same while missing servers are expected to return, so that they are used again soon. Each
  /// returns with its next heartbeat, so no delay would collect all of them sooner.
  std::chrono::milliseconds eager_batch_delay{300};
  /// A watch that returns at least this many changes, or bytes of keys and values, may not have
  /// returned all of them. The store returns at most about 500 items or 1 MB.
  std::size_t large_batch = 250;
  std::size_t large_batch_bytes = 250'000;
  /// How long the store holds a watch without changes. An unresponsive connection is detected only
  /// when the watch is overdue, so this bounds how long a node can be behind.
  std::chrono::milliseconds watch_wait{2'800};
  /// Deadline of a watch in addition to the time for which the store holds it; doubled with each
  /// failure, up to `max_watch_slack`. After a failure the store does not hold watches. A call sent
  /// just before the end of an outage may never be answered, so `max_watch_slack` and `max_backoff`
  /// bound how long a node can be behind afterwards.
  std::chrono::milliseconds watch_slack{700};
  std::chrono::milliseconds max_watch_slack{2'500};
  /// Deadline of a read. A read of the whole store takes 8 to 16 ms, and about 60 times as long
  /// when the store is slow.
  std::chrono::milliseconds read_timeout{2'500};
  /// Backoff after the first failure; doubled with each further one, up to `max_backoff`.
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds max_backoff{800};
  /// How long a followed node holds a call without changes. The node counts as unresponsive when
  /// the call is overdue by `follow_slack`.
  std::chrono::milliseconds follow_wait{1'500};
  /// Data from a followed node is not used if the store confirmed it longer ago than this.
  std::chrono::milliseconds max_relay_age{3'500};
  std::chrono::milliseconds follow_slack{300};
  /// After all followed nodes have failed, or cannot reach the store themselves, the store is
  /// followed directly for this time. The TTL of their keys in the store bounds how long this
  /// repeats.
  std::chrono::milliseconds direct_period{10'000};
  /// For this long after an outage of the store, missing entries may merely have expired during the
  /// outage.
  std::chrono::milliseconds recovery_window{1000};
  /// Age of the configuration (see `ConfigurationAge`) that is not to be reached while API keys are
  /// in use; 0 for no limit.
  std::chrono::milliseconds max_configuration_age{0};
  /// Part of that age that is reserved for a call to a slow store, which answers in about 240 ms,
  /// and for the delays of the event loop.
  std::chrono::milliseconds slow_call{0};
  /// Part of that age that is reserved for one call that gets no response.
  std::chrono::milliseconds lost_call{0};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_OPTIONS_H_
