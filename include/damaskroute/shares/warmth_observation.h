#ifndef DAMASKROUTE_SHARES_WARMTH_OBSERVATION_H_
#define DAMASKROUTE_SHARES_WARMTH_OBSERVATION_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Observation about a backend server from the answer to a regular call. Answers of health and load
/// endpoints are not used, because they lag.
struct WarmthObservation {
  BootId boot_id = 0;
  bool reported_warm = false;  ///< The state header is `warm`.
  bool shed = false;           ///< Refused because of load (503).
  TimePoint started;           ///< When the call was sent.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARMTH_OBSERVATION_H_
