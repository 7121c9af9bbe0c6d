#include "damaskroute/routing/route_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"

namespace damaskroute {

RouteTable::RouteTable(RoutingDocument document) : document_(std::move(document)) {
  for (const Route& route : document_.routes) by_host_[route.host].push_back(&route);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  std::string name(host.substr(0, host.find(':')));
  absl::AsciiStrToLower(&name);
  auto found = by_host_.find(name);
  if (found == by_host_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const ServicePolicy& RouteTable::Policy(const ServiceName& service) const {
  static const auto* const fallback = new ServicePolicy();
  auto found = document_.services.find(service);
  return found == document_.services.end() ? *fallback : found->second;
}

}  // namespace damaskroute
