#ifndef DAMASKROUTE_SHARES_WARMTH_EVIDENCE_H_
#define DAMASKROUTE_SHARES_WARMTH_EVIDENCE_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// What the answer to a real call says about a backend server. Answers of health and load
/// endpoints are no evidence, as they lag.
struct WarmthEvidence {
  BootId boot_id = 0;
  bool says_warm = false;  ///< The state header is `warm`.
  bool shed = false;       ///< Refused for load (503).
  TimePoint started;       ///< When the call was sent.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_SHARES_WARMTH_EVIDENCE_H_
