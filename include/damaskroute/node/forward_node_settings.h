#ifndef DAMASKROUTE_NODE_FORWARD_NODE_SETTINGS_H_
#define DAMASKROUTE_NODE_FORWARD_NODE_SETTINGS_H_

#include <chrono>
#include <optional>
#include <string>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Settings of a `ForwardNode`. The platform's adapter fills them.
struct ForwardNodeSettings {
  NodeName node;
  ZoneName zone;
  Endpoint callers;  ///< Where callers connect.
  Endpoint ready;    ///< Where the balancer asks whether the node takes callers.
  std::string ready_path;
  std::optional<Endpoint> metrics;
  Endpoint store;
  std::optional<Endpoint> changes;  ///< Where other nodes may follow this one's view of the store.
  std::chrono::milliseconds node_lease{30'000};  ///< Life of the node's own key without renewal.

  // Bounds of the deployment.
  /// Time after a disturbance of its connections within which a node must be up to date again.
  std::chrono::milliseconds contact_bound{4'000};
  std::chrono::milliseconds config_bound{3'000};    ///< For a new configuration to be in force.
  std::chrono::milliseconds drain_bound{3'000};     ///< For a leaving server to get nothing more.
  std::chrono::milliseconds evacuate_bound{5'000};  ///< For a closed zone to get nothing more.
  std::chrono::milliseconds grace{6'000};           ///< From SIGTERM to SIGKILL.
  std::chrono::milliseconds budget_window{10'000};  ///< For the limit on extra calls.
  double budget_ratio = 0.2;                        ///< Extra calls per request.
  double budget_slack = 50;                         ///< Extra calls per window, over all nodes.
  double cold_overshoot = 1.5;                      ///< Factor on the rate of a cold server.
  double cold_slack = 5;                            ///< Calls per second beyond that.
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_NODE_SETTINGS_H_
