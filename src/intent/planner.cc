#include "damaskroute/intent/planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "damaskroute/config/config_codec.h"
#include "damaskroute/config/difference.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

// 128 bits of the hash: short enough to type, with a negligible probability of collisions.
constexpr std::size_t kPlanIdDigits = 32;

using ZoneSlots = std::map<ZoneName, ZoneCapacity>;

int CountSlots(const ConfigDocument& document, const Service* service, ZoneSlots& zones,
               int ZoneCapacity::*field) {
  int total = 0;
  if (service == nullptr) return total;
  for (const BackendServer& backend : service->backends) {
    ZoneCapacity& zone = zones[backend.zone];
    zone.zone = backend.zone;
    if (!AcceptsWork(document, backend)) continue;
    zone.*field += backend.slots;
    total += backend.slots;
  }
  return total;
}

// Connections to backend servers that accept work in `after`, beyond those that `before` has to the
// same addresses.
int CountNewConnections(const ConfigDocument& before, const Service* old_service,
                        const ConfigDocument& after, const Service* new_service) {
  if (new_service == nullptr) return 0;
  std::map<std::string, int> open;
  if (old_service != nullptr) {
    for (const BackendServer& backend : old_service->backends) {
      if (!AcceptsWork(before, backend)) continue;
      open[FormatEndpoint(backend.endpoint)] = backend.connections;
    }
  }
  int connections = 0;
  for (const BackendServer& backend : new_service->backends) {
    if (!AcceptsWork(after, backend)) continue;
    connections += std::max(0, backend.connections - open[FormatEndpoint(backend.endpoint)]);
  }
  return connections;
}

class PlanBuilder {
 public:
  PlanBuilder(const PlannerSettings& settings, const ConfigDocument& base, const BusySlots& busy,
              Plan& plan)
      : settings_(settings), base_(base), busy_(busy), plan_(plan) {}

  void Build() {
    if (plan_.differences.empty()) {
      plan_.warnings.push_back(
          fmt::format("nothing changes: the content equals revision {}", base_.revision));
    }
    std::set<ServiceName> names;
    for (const Service& service : base_.services) names.insert(service.name);
    for (const Service& service : plan_.document.services) names.insert(service.name);
    for (const ServiceName& name : names) AddService(name);
    for (const ConfigChange& change : plan_.differences) {
      if (change.kind == ChangeKind::kZoneBack) AddReturnWarning(change.subject);
    }
  }

 private:
  void AddService(const ServiceName& name) {
    const Service* before = base_.FindService(name);
    const Service* after = plan_.document.FindService(name);
    ServiceConsequence consequence;
    consequence.service = name;
    ZoneSlots zones;
    consequence.slots_before = CountSlots(base_, before, zones, &ZoneCapacity::slots_before);
    consequence.slots_after = CountSlots(plan_.document, after, zones, &ZoneCapacity::slots_after);
    consequence.connections_to_open = CountNewConnections(base_, before, plan_.document, after);
    auto measured = busy_.find(name);
    consequence.busy_measured = measured != busy_.end();
    consequence.busy_slots = consequence.busy_measured
                                 ? measured->second
                                 : settings_.assumed_load * consequence.slots_before;
    bool changed = consequence.connections_to_open != 0;
    for (const auto& [zone, capacity] : zones) {
      changed = changed || capacity.slots_before != capacity.slots_after;
      consequence.zones.push_back(capacity);
    }
    if (!changed) return;
    AddServiceWarnings(consequence, after == nullptr);
    plan_.consequences.push_back(std::move(consequence));
  }

  void AddServiceWarnings(const ServiceConsequence& consequence, bool removed) {
    if (consequence.slots_after >= consequence.slots_before) return;
    if (removed) {
      AddSevereWarning(fmt::format("service {} is removed while it has {} slots in service",
                                   consequence.service, consequence.slots_before));
    } else if (consequence.slots_after == 0) {
      AddSevereWarning(fmt::format("service {} is left without a backend server that accepts work",
                                   consequence.service));
    } else if (consequence.busy_slots > settings_.overload_threshold * consequence.slots_after) {
      AddSevereWarning(fmt::format("service {} is overloaded: {:.1f} slots busy ({}), {} left",
                                   consequence.service, consequence.busy_slots,
                                   consequence.busy_measured ? "measured" : "assumed",
                                   consequence.slots_after));
    }
  }

  void AddSevereWarning(std::string warning) {
    plan_.warnings.push_back(std::move(warning));
    plan_.needs_override = true;
  }

  void AddReturnWarning(const ZoneName& zone) {
    int backends = 0;
    int slots = 0;
    int cold_slots = 0;
    for (const Service& service : plan_.document.services) {
      for (const BackendServer& backend : service.backends) {
        if (backend.zone != zone || !AcceptsWork(plan_.document, backend)) continue;
        ++backends;
        slots += backend.slots;
        cold_slots += backend.cold_slots;
      }
    }
    plan_.warnings.push_back(
        fmt::format("zone {} returns with {} cold backend servers: {} of {} slots until they are "
                    "warm",
                    zone, backends, cold_slots, slots));
  }

  const PlannerSettings& settings_;
  const ConfigDocument& base_;
  const BusySlots& busy_;
  Plan& plan_;
};

}  // namespace

absl::StatusOr<Plan> Planner::MakePlan(const ConfigDocument& base, ConfigDocument declared,
                                       const BusySlots& busy) const {
  Plan plan;
  plan.base_revision = base.revision;
  plan.document = std::move(declared);
  plan.document.revision = 0;
  plan.document.change_id.clear();
  absl::StatusOr<std::string> bytes = EncodeConfig(plan.document);
  if (!bytes.ok()) return bytes.status();
  plan.id = Sha256Hex(fmt::format("{}\n{}", base.revision, *bytes)).substr(0, kPlanIdDigits);
  plan.differences = Difference(base, plan.document);
  PlanBuilder(settings_, base, busy, plan).Build();
  return plan;
}

absl::StatusOr<ConfigDocument> WithZoneState(ConfigDocument base, const ZoneName& zone,
                                             ZoneState state) {
  for (Zone& entry : base.zones) {
    if (entry.name != zone) continue;
    entry.state = state;
    return base;
  }
  return absl::NotFoundError(fmt::format("zone {} is not declared", zone));
}

absl::StatusOr<ConfigDocument> WithBackendIntent(ConfigDocument base, const BackendName& backend,
                                                 BackendIntent intent) {
  for (Service& service : base.services) {
    for (BackendServer& entry : service.backends) {
      if (entry.name != backend) continue;
      entry.intent = intent;
      return base;
    }
  }
  return absl::NotFoundError(fmt::format("backend server {} is not declared", backend));
}

}  // namespace damaskroute
