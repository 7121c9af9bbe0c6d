#include <chrono>
#include <string>

#include "damaskroute/node/forward_service.h"

// Renders the forwarding state of the service for operators (`damaskctl beliefs`).

namespace damaskroute {
namespace {

std::int64_t Milliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

void WriteNumber(JsonWriter& writer, const char* key, double value) {
  writer.Key(key);
  writer.Double(value);
}

}  // namespace

void ForwardService::WriteState(JsonWriter& writer, TimePoint now) const {
  WriteRoutes(writer);
  writer.Key("backends");
  writer.StartArray();
  for (const auto& [id, backend] : forwarding_state_.backends().all()) {
    const BackendCallStats& call_stats = backend->call_stats;
    writer.StartObject();
    WriteText(writer, "id", id);
    WriteText(writer, "service", backend->entry.service);
    WriteText(writer, "zone", backend->entry.zone);
    WriteText(writer, "endpoint", FormatEndpoint(backend->entry.endpoint));
    WriteText(writer, "use",
              BackendEligibilityText(forwarding_state_.backends().EligibilityOf(*backend, now)));
    WriteInteger(writer, "outstanding", call_stats.outstanding());
    WriteNumber(writer, "slowness", call_stats.Slowness(now));
    WriteNumber(writer, "failure_rate", call_stats.FailureRate(now));
    WriteInteger(writer, "avoided_ms",
                 call_stats.IsAvoided(now) ? Milliseconds(call_stats.avoid_until() - now) : 0);
    if (backend->rate_limit.rate()) {
      WriteNumber(writer, "limit_per_s", *backend->rate_limit.rate());
      WriteInteger(writer, "calls_in_window",
                   static_cast<std::int64_t>(backend->rate_limit.CallsInWindow(now)));
    }
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("extra_calls");
  writer.StartArray();
  for (const auto& [service, budget] : budgets_) {
    writer.StartObject();
    WriteText(writer, "service", service);
    WriteInteger(writer, "requests", budget.requests());
    WriteInteger(writer, "extras", budget.extras());
    writer.EndObject();
  }
  writer.EndArray();
  WriteRollouts(writer);
}

void ForwardService::WriteRoutes(JsonWriter& writer) const {
  writer.Key("routes");
  writer.StartArray();
  static const auto* const no_routes = new RouteTable(RoutingDocument{});
  const RouteTable& routes = forwarding_state_.routes() ? *forwarding_state_.routes() : *no_routes;
  for (const Route& route : routes.document().routes) {
    writer.StartObject();
    WriteText(writer, "name", route.name);
    WriteText(writer, "host", route.host);
    WriteText(writer, "prefix", route.prefix);
    WriteInteger(writer, "shards", static_cast<std::int64_t>(route.shards.size()));
    WriteInteger(writer, "reached", CountReachableShards(route));
    auto limit = route.shards.empty() ? limits_.end() : limits_.find(routes.Plan(route).shard_set);
    WriteInteger(writer, "in_progress", limit == limits_.end() ? 0 : limit->second.in_progress());
    WriteNumber(writer, "limit", limit == limits_.end() ? 0 : limit->second.limit());
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace damaskroute
