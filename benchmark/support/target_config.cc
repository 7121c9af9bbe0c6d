#include "benchmark/support/target_config.h"

#include <iterator>
#include <utility>

#include "fmt/format.h"

namespace damaskroute::bench {

ConfigDocument MakeTargetConfig(int backends, int backends_per_service) {
  ConfigDocument config;
  config.revision = 1;
  for (int i = 0; i < kTargetZones; ++i) {
    config.zones.push_back({fmt::format("zone-{}", i), fmt::format("region-{}", i / 3), {}});
  }
  for (int i = 0; i < backends; ++i) {
    if (i % backends_per_service == 0) {
      Service service;
      service.name = fmt::format("service-{:05}", i / backends_per_service);
      service.customer = "customer";
      config.fronts.push_back({service.name, service.name, std::chrono::milliseconds(1000), {}});
      config.services.push_back(std::move(service));
    }
    BackendServer backend;
    backend.name = fmt::format("service-{:05}-backend-{:05}", i / backends_per_service, i);
    backend.zone = config.zones[static_cast<std::size_t>(i % kTargetZones)].name;
    backend.endpoint = {fmt::format("10.{}.{}.17", i / 250, i % 250), 9000};
    backend.slots = 3;
    backend.connections = 30;
    config.services.back().backends.push_back(std::move(backend));
  }
  return config;
}

Roster MakeTargetRoster(int node_count) {
  Roster roster;
  roster.revision = 1;
  for (int i = 0; i < node_count; ++i) {
    roster.node_entries.push_back({fmt::format("entry-node-{:05}", i),
                                   fmt::format("zone-{}", i % kTargetZones),
                                   {fmt::format("10.{}.{}.18", i / 250, i % 250), 7000},
                                   1'790'000'000'000'000ULL + static_cast<Incarnation>(i),
                                   false});
  }
  return roster;
}

std::string DeclarationText(const ConfigDocument& config) {
  std::string text = "zones:\n";
  auto out = std::back_inserter(text);
  for (const Zone& zone : config.zones) {
    fmt::format_to(out, "  - {{name: {}, region: {}}}\n", zone.name, zone.region);
  }
  text += "services:\n";
  for (const Service& service : config.services) {
    fmt::format_to(out,
                   "  - name: {}\n    customer: {}\n    warm_up: {}ms\n"
                   "    backend_defaults: {{slots: 3, cold_slots: 1, connections: 30}}\n"
                   "    backends:\n",
                   service.name, service.customer, service.warm_up.count());
    for (const BackendServer& backend : service.backends) {
      fmt::format_to(out, "      - {{name: {}, zone: {}, address: \"{}:{}\"}}\n", backend.name,
                     backend.zone, backend.endpoint.address, backend.endpoint.port);
    }
  }
  text += "fronts:\n";
  for (const SearchFront& front : config.fronts) {
    fmt::format_to(out, "  - {{name: {}, service: {}, default_deadline: {}ms}}\n", front.name,
                   front.service, front.default_deadline.count());
  }
  return text;
}

}  // namespace damaskroute::bench
