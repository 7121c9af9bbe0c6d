#ifndef DAMASKROUTE_STORE_LEASE_STEP_H_
#define DAMASKROUTE_STORE_LEASE_STEP_H_

#include <cstdint>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// What the owner of a leased key does next.
enum class LeaseStepKind : std::uint8_t { kOpen, kWrite, kRenew, kPause };

/// One step with what it needs.
struct LeaseStep {
  LeaseStepKind kind = LeaseStepKind::kPause;
  std::uint64_t lease = 0;
  TimePoint until;  ///< With `kPause`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASE_STEP_H_
