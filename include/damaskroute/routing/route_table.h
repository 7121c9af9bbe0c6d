#ifndef DAMASKROUTE_ROUTING_ROUTE_TABLE_H_
#define DAMASKROUTE_ROUTING_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskroute/routing/query_plan.h"
#include "damaskroute/routing/routing_document.h"

namespace damaskroute {

/// Immutable index of one version of the routing configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingDocument document);

  /// Finds the route for a request: among the routes of the host, the one with the longest prefix
  /// of the path. `host` may have a port and any case; `target` may have a query. Returns nullptr
  /// if none matches.
  const Route* Find(std::string_view host, std::string_view target) const;

  const RoutingDocument& document() const { return document_; }

  /// Plan of a route with shards of this table.
  const QueryPlan& Plan(const Route& route) const { return plans_.at(&route); }

  /// Policy of a service; the default one if the configuration does not contain the service.
  const ServicePolicy& Policy(const ServiceName& service) const;

 private:
  void MakePlans();

  RoutingDocument document_;
  std::unordered_map<const Route*, QueryPlan> plans_;
  // Sorted by descending length of the prefix.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_ROUTE_TABLE_H_
