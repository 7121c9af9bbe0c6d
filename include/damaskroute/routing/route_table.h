#ifndef DAMASKROUTE_ROUTING_ROUTE_TABLE_H_
#define DAMASKROUTE_ROUTING_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskroute/keys/key_table.h"
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

  /// The configuration, without the keys of its tenants.
  const RoutingDocument& document() const { return document_; }

  const KeyTable& keys() const { return keys_; }

  /// Plan of a route with shards of this table.
  const QueryPlan& Plan(const Route& route) const { return plans_.at(&route); }

  /// Whether no other request on the same shards can be more urgent than one of `tenant` on
  /// `route`, a route with shards of this table. The tenant may be null.
  bool IsUrgent(const Route& route, const Tenant* tenant) const;

  /// Policy of a service; the default one if the configuration does not contain the service.
  const ServicePolicy& Policy(const ServiceName& service) const;

 private:
  void MakePlans();
  int FirstPriority(const Route& route) const;

  RoutingDocument document_;
  KeyTable keys_;
  std::unordered_map<const Route*, QueryPlan> plans_;
  // Sorted by descending length of the prefix.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_ROUTING_ROUTE_TABLE_H_
