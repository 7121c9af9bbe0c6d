#ifndef DAMASKROUTE_SHARES_WARMTH_OPTIONS_H_
#define DAMASKROUTE_SHARES_WARMTH_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Constants of a `WarmthTracker`.
struct WarmthOptions {
  BackendName backend;

  /// First nonce, different for each process (its incarnation, for example), so that reports of
  /// contrary evidence by successive second holders differ.
  std::uint64_t first_nonce = 1;

  /// Shortest time in cold start, from the first answer of a boot or the last contrary evidence.
  Duration warm_up = std::chrono::seconds(2);

  /// A grant, or a warm answer of its own, allows the second holder work for this long. Bounds
  /// the time in which it overloads a backend server that turned cold without a sign.
  Duration validity = std::chrono::seconds(2);

  /// Without a warm answer for this long, the first holder keeps to the cold limit until the next
  /// one: a backend server may have restarted while it was idle.
  Duration stale = std::chrono::seconds(10);

  /// The second holder asks for a grant when less than this is left of the current one.
  Duration renew_before = std::chrono::seconds(1);

  /// Time between two queries without an answer.
  Duration query_period = std::chrono::milliseconds(250);

  /// Warm answers in a row that end the cold state; one answer may come from a cache.
  int successes_to_ramp = 4;

  /// So many answers in a row that each take `slow_factor` times the usual latency count as
  /// contrary evidence. A run of 8 stragglers has probability 1e-16 at 1% of slow calls.
  int slow_run = 8;
  int slow_factor = 4;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARMTH_OPTIONS_H_
