#ifndef DAMASKROUTE_PEER_CRASH_REPORT_H_
#define DAMASKROUTE_PEER_CRASH_REPORT_H_

#include <cstdint>

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Reports that the connection to a backend server was lost while the server ran a request.
struct CrashReport {
  std::uint64_t fingerprint = 0;  ///< Hash of front and body of the request.
  bool is_action = false;         ///< For an action, one report blocks the fingerprint.
  ServiceName service;
  BackendName backend;
  BootId boot_id = 0;
  bool after_success = false;  ///< See `CrashGuard::OnCrash`.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CRASH_REPORT_H_
