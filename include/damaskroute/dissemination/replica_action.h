#ifndef DAMASKROUTE_DISSEMINATION_REPLICA_ACTION_H_
#define DAMASKROUTE_DISSEMINATION_REPLICA_ACTION_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/peer/config_announce.h"
#include "damaskroute/peer/config_data.h"
#include "damaskroute/peer/config_pull.h"

namespace damaskroute {

/// Message to send to a peer.
struct SendToPeer {
  Endpoint to;
  std::variant<ConfigAnnounce, ConfigPull, ConfigData> message;
};

/// A newer revision has been installed on this node.
struct DocumentInstalled {
  Revision revision = 0;
  std::shared_ptr<const std::string> document;
};

/// Action that the owner of a `ConfigReplica` must perform.
using ReplicaAction = std::variant<SendToPeer, DocumentInstalled>;

/// Actions in the order in which they must be performed.
using ReplicaActions = std::vector<ReplicaAction>;

}  // namespace damaskroute

#endif  // DAMASKROUTE_DISSEMINATION_REPLICA_ACTION_H_
