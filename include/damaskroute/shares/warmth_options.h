#ifndef DAMASKROUTE_SHARES_WARMTH_OPTIONS_H_
#define DAMASKROUTE_SHARES_WARMTH_OPTIONS_H_

#include <chrono>
#include <cstdint>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Options of a `WarmthTracker`.
struct WarmthOptions {
  BackendName backend;

  /// First nonce. Differs between processes (for example the incarnation), so that the cold
  /// observations of successive second holders have different ids.
  std::uint64_t first_nonce = 1;

  /// Minimum duration of a cold start, from the first answer of an incarnation or the last cold
  /// observation.
  Duration warm_up = std::chrono::seconds(2);

  /// How long a grant, or a warm answer to the second holder's calls, permits it to send calls.
  /// Bounds the time during which it overloads a backend server that turned cold unnoticed.
  Duration validity = std::chrono::seconds(2);

  /// Without a warm answer for this long, the first holder uses the cold limit until the next one,
  /// because an idle backend server may have restarted.
  Duration stale_after = std::chrono::seconds(10);

  /// The second holder requests a new grant when less than this is left of the current one.
  Duration renew_before = std::chrono::seconds(1);

  /// Period of the queries while they are unanswered.
  Duration query_period = std::chrono::milliseconds(250);

  /// Consecutive warm answers that end the cold state. A single one may come from a cache.
  int successes_to_ramp = 4;

  /// This many consecutive answers that each take more than `slow_factor` times the usual latency
  /// are a cold observation. With 1% of slow calls, a run of 8 stragglers has a probability of
  /// 1e-16.
  int slow_run = 8;
  int slow_factor = 4;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARMTH_OPTIONS_H_
