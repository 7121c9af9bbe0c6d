#ifndef DAMASKROUTE_NODE_FORWARD_NODE_SETTINGS_H_
#define DAMASKROUTE_NODE_FORWARD_NODE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "damaskroute/core/endpoint.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/quota/quota_bounds.h"

namespace damaskroute {

/// Limits on what backend servers of a version under roll-out get, over all nodes.
struct RolloutBounds {
  double canary_share = 0.1;  ///< Part of the requests of the service.
  double canary_slack = 0;    ///< Requests in addition to that part.
  /// Until the version gets no requests any more after it has failed.
  std::chrono::milliseconds rollback_bound{5'000};
};

/// Settings of a `ForwardNode`, filled by the platform's adapter.
struct ForwardNodeSettings {
  NodeName node;
  ZoneName zone;
  Endpoint callers;  ///< Port for callers.
  Endpoint ready;    ///< Port for the balancer's readiness checks.
  std::string ready_path;
  std::optional<Endpoint> metrics;
  Endpoint store;
  std::optional<Endpoint> changes;     ///< Port for nodes that follow the store through this one.
  std::optional<Endpoint> peers;       ///< Port for requests that other nodes cannot serve.
  std::optional<Endpoint> quota_port;  ///< UDP port for quotas of tenants; absent without `quota`.
  std::chrono::milliseconds node_lease{30'000};  ///< Lease time of the node's key in the store.

  // Time limits and budgets of the deployment.
  /// Time within which a node must be up to date again after its connections were disturbed.
  std::chrono::milliseconds contact_bound{4'000};
  std::chrono::milliseconds config_bound{3'000};    ///< Until a new configuration is in effect.
  std::chrono::milliseconds drain_bound{3'000};     ///< Until a leaving server gets no new calls.
  std::chrono::milliseconds evacuate_bound{5'000};  ///< Until a closed zone gets no new calls.
  std::chrono::milliseconds grace{6'000};           ///< From SIGTERM to SIGKILL.
  std::chrono::milliseconds budget_window{10'000};  ///< Window of the limit on extra calls.
  double budget_ratio = 0.2;                        ///< Extra calls per request.
  double budget_slack = 50;     ///< Further extra calls per window, over all nodes.
  double cold_overshoot = 1.5;  ///< Factor on the rate of a cold server.
  double cold_slack = 5;        ///< Calls per second in addition to that rate.
  /// Until no request runs with a key that was withdrawn; absent if this has no strict limit.
  std::optional<std::chrono::milliseconds> revocation_bound;
  std::optional<QuotaBounds> quota;      ///< Absent if tenants have no quotas.
  std::optional<RolloutBounds> rollout;  ///< Absent if roll-outs have no limits.

  // Limits of the machine; absent if unknown.
  std::optional<double> cpu_quota;  ///< Cores.
  std::optional<std::size_t> memory_bytes;
  std::optional<int> max_descriptors;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_FORWARD_NODE_SETTINGS_H_
