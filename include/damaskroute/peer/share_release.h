#ifndef DAMASKROUTE_PEER_SHARE_RELEASE_H_
#define DAMASKROUTE_PEER_SHARE_RELEASE_H_

#include "damaskroute/core/ids.h"

namespace damaskroute {

/// The sender has stopped using its share of a backend server and has no running calls on it.
struct ShareRelease {
  BackendName backend;
  Revision revision = 0;  ///< Roster or configuration revision that moved the share.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_SHARE_RELEASE_H_
