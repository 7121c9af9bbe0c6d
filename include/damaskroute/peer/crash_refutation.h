#ifndef DAMASKROUTE_PEER_CRASH_REFUTATION_H_
#define DAMASKROUTE_PEER_CRASH_REFUTATION_H_

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Retracts the `CrashReport`s about an incarnation of a backend server: it responded to a call
/// that began after a connection to it was lost, so it has not crashed.
struct CrashRefutation {
  ServiceName service;
  BackendName backend;
  BootId boot_id = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CRASH_REFUTATION_H_
