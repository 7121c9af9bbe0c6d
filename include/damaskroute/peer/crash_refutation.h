#ifndef DAMASKROUTE_PEER_CRASH_REFUTATION_H_
#define DAMASKROUTE_PEER_CRASH_REFUTATION_H_

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// A backend server answered a call that began after a connection to it was lost, so the
/// `CrashReport`s about this start name no crash.
struct CrashRefutation {
  ServiceName service;
  BackendName backend;
  BootId boot_id = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CRASH_REFUTATION_H_
