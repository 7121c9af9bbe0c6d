#ifndef DAMASKROUTE_STORE_LEASE_STEP_H_
#define DAMASKROUTE_STORE_LEASE_STEP_H_

#include <cstdint>

#include "damaskroute/core/time.h"

namespace damaskroute {

/// Next call for a leased key: open a lease, write the key, renew the lease, or wait.
enum class LeaseStepKind : std::uint8_t { kOpen, kWrite, kRenew, kPause };

/// Next step of a `LeaseSchedule` with its parameters.
struct LeaseStep {
  LeaseStepKind kind = LeaseStepKind::kPause;
  std::uint64_t lease = 0;
  TimePoint until;  ///< With `kPause`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_LEASE_STEP_H_
