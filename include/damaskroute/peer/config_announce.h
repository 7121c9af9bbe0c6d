#ifndef DAMASKROUTE_PEER_CONFIG_ANNOUNCE_H_
#define DAMASKROUTE_PEER_CONFIG_ANNOUNCE_H_

#include "damaskroute/core/ids.h"
#include "damaskroute/peer/content_hash.h"

namespace damaskroute {

/// Announces the configuration revision that the sender has installed.
struct ConfigAnnounce {
  Revision revision = 0;
  ContentHash hash = 0;

  friend bool operator==(const ConfigAnnounce&, const ConfigAnnounce&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_PEER_CONFIG_ANNOUNCE_H_
