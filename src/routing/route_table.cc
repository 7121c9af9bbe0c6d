#include "damaskroute/routing/route_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "absl/strings/ascii.h"
#include "damaskroute/core/hash.h"

namespace damaskroute {
namespace {

// Tolerance for rounding errors of the minimum coverage.
constexpr double kCoverageTolerance = 1e-9;

std::size_t MinParts(const Route& route) {
  double min_parts = route.min_coverage * static_cast<double>(route.shards.size());
  return static_cast<std::size_t>(std::max(1.0, std::ceil(min_parts - kCoverageTolerance)));
}

}  // namespace

RouteTable::RouteTable(RoutingDocument document)
    : document_(std::move(document)), keys_(document_) {
  for (Tenant& tenant : document_.tenants) std::vector<std::string>().swap(tenant.api_keys);
  for (const Route& route : document_.routes) by_host_[route.host].push_back(&route);
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
  MakePlans();
}

void RouteTable::MakePlans() {
  std::map<std::uint64_t, int> first_priority;  // Most urgent one by shard set.
  for (const Route& route : document_.routes) {
    if (route.shards.empty()) continue;
    QueryPlan plan;
    for (const ServiceName& shard : route.shards) plan.shard_set = Hash64(shard, plan.shard_set);
    plan.min_required_parts = MinParts(route);
    plans_.emplace(&route, plan);
    int priority = FirstPriority(route);
    auto [first, added] = first_priority.try_emplace(plan.shard_set, priority);
    first->second = std::min(first->second, priority);
  }
  for (auto& [route, plan] : plans_) {
    plan.first_priority = first_priority.at(plan.shard_set);
    plan.urgent = route->priority <= plan.first_priority;
  }
}

// Most urgent priority of the requests on a route. The route's own priority applies to requests
// without a tenant, which only a public route accepts, and of tenants without a priority.
int RouteTable::FirstPriority(const Route& route) const {
  if (!keys_.is_configured()) return route.priority;
  int first = route.is_public ? route.priority : std::numeric_limits<int>::max();
  for (const Tenant& tenant : keys_.tenants()) {
    first = std::min(first, tenant.priority.value_or(route.priority));
  }
  return first;
}

bool RouteTable::IsUrgent(const Route& route, const Tenant* tenant) const {
  const QueryPlan& plan = Plan(route);
  if (tenant == nullptr || !tenant->priority) return plan.urgent;
  return *tenant->priority <= plan.first_priority;
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
