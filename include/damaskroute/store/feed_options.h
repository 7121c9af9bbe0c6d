#ifndef DAMASKROUTE_STORE_FEED_OPTIONS_H_
#define DAMASKROUTE_STORE_FEED_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace damaskroute {

/// Settings of a `FeedSchedule`.
struct FeedOptions {
  /// Time for which changes are left to gather after a watch gave some. Each watch is a priced call
  /// to the store; the shortest bound for changes to be in force limits this time.
  std::chrono::milliseconds gather{750};
  /// The same while servers are missing that may come back, so that they are used again soon. They
  /// come back at the moments of their next heartbeats, so nothing would gather them all sooner.
  std::chrono::milliseconds eager_gather{300};
  /// A watch that gives so many changes, or so many bytes of keys and values, may have left more
  /// behind. The store gives at most about 500 items or 1 MB.
  std::size_t large_batch = 250;
  std::size_t large_batch_bytes = 250'000;
  /// How long the store holds a watch without changes. A connection may go silent for good, which
  /// is noticed when the watch is overdue, so this bounds how long a node can be behind.
  std::chrono::milliseconds watch_wait{2'800};
  /// Deadline of a watch beyond `watch_wait`; doubled with each failure, up to `read_timeout`.
  std::chrono::milliseconds watch_slack{700};
  /// Deadline of a read. A read of the whole store takes 8 to 16 ms; a slow store takes some 60
  /// times as long.
  std::chrono::milliseconds read_timeout{2'500};
  /// Pause after a first failure; doubled up to the longest with each further one.
  std::chrono::milliseconds first_pause{100};
  std::chrono::milliseconds longest_pause{800};
  /// How long a followed node holds a call without changes. A silent one is noticed when the call
  /// is overdue by `follow_slack`.
  std::chrono::milliseconds follow_wait{1'500};
  /// What the store confirmed longer ago is not relied on at a followed node.
  std::chrono::milliseconds longest_age{3'500};
  std::chrono::milliseconds follow_slack{300};
  /// After all followed nodes have failed, or do not reach the store themselves, the store itself
  /// is followed for this time. The life of their keys in the store bounds how long it goes on.
  std::chrono::milliseconds direct_time{10'000};
  /// For this long after the store's return, missing entries may only have lapsed.
  std::chrono::milliseconds return_window{1000};
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_FEED_OPTIONS_H_
