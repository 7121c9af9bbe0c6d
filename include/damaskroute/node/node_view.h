#ifndef DAMASKROUTE_NODE_NODE_VIEW_H_
#define DAMASKROUTE_NODE_NODE_VIEW_H_

#include <map>
#include <memory>

#include "damaskroute/config/config_document.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/metrics/front_metrics.h"
#include "damaskroute/node/service_runtime.h"
#include "damaskroute/placement/placement.h"
#include "damaskroute/roster/roster.h"

namespace damaskroute {

/// Everything that the request path reads about the system, published as one immutable snapshot.
struct NodeView {
  ConfigDocument config;
  Roster roster;
  Placement placement;
  std::map<ServiceName, std::shared_ptr<ServiceRuntime>> services;

  std::map<FrontName, std::shared_ptr<FrontMetrics>> fronts;

  /// Runtime of the service, or nullptr.
  std::shared_ptr<ServiceRuntime> FindService(const ServiceName& name) const {
    auto it = services.find(name);
    return it == services.end() ? nullptr : it->second;
  }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_NODE_VIEW_H_
