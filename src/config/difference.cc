#include "damaskroute/config/difference.h"

#include <map>
#include <string>

#include "damaskroute/settings/yaml_reader.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

class DifferenceBuilder {
 public:
  std::vector<ConfigChange> Build(const ConfigDocument& from, const ConfigDocument& to) {
    CompareByName(from.zones, to.zones,
                  [this](const Zone* before, const Zone* after) { CompareZone(before, after); });
    CompareByName(from.services, to.services, [this](const Service* before, const Service* after) {
      CompareService(before, after);
    });
    CompareByName(from.fronts, to.fronts,
                  [this](const SearchFront* before, const SearchFront* after) {
                    CompareFront(before, after);
                  });
    return std::move(changes_);
  }

 private:
  // Calls `compare` for each name in either list with its entries, nullptr where it is absent.
  template <typename T, typename Compare>
  static void CompareByName(const std::vector<T>& from, const std::vector<T>& to, Compare compare) {
    std::map<std::string, std::pair<const T*, const T*>> by_name;
    for (const T& entry : from) by_name[entry.name].first = &entry;
    for (const T& entry : to) by_name[entry.name].second = &entry;
    for (const auto& [name, pair] : by_name) compare(pair.first, pair.second);
  }

  void Add(ChangeKind kind, const std::string& subject, std::string text) {
    changes_.push_back({kind, subject, std::move(text)});
  }

  void CompareZone(const Zone* before, const Zone* after) {
    if (after == nullptr) {
      Add(ChangeKind::kZoneRemoved, before->name, fmt::format("zone {} is removed", before->name));
      return;
    }
    if (before == nullptr) {
      const char* state = after->state == ZoneState::kOut ? "out" : "serving";
      Add(ChangeKind::kZoneAdded, after->name,
          fmt::format("zone {} is added ({})", after->name, state));
      return;
    }
    if (before->state != after->state) {
      bool out = after->state == ZoneState::kOut;
      Add(out ? ChangeKind::kZoneOut : ChangeKind::kZoneBack, after->name,
          fmt::format("zone {} {}", after->name, out ? "goes out" : "returns to service"));
    }
    if (before->region != after->region) {
      Add(ChangeKind::kZoneChanged, after->name,
          fmt::format("zone {}: region {} -> {}", after->name, before->region, after->region));
    }
  }

  void CompareService(const Service* before, const Service* after) {
    if (after == nullptr) {
      Add(ChangeKind::kServiceRemoved, before->name,
          fmt::format("service {} is removed with {} backend servers", before->name,
                      before->backends.size()));
      return;
    }
    static const CowVector<BackendServer> no_backends;
    if (before == nullptr) {
      Add(ChangeKind::kServiceAdded, after->name,
          fmt::format("service {} of customer {} is added", after->name, after->customer));
    } else {
      CompareServiceFields(*before, *after);
    }
    CompareByName((before == nullptr ? no_backends : before->backends).get(), after->backends.get(),
                  [&](const BackendServer* old_backend, const BackendServer* new_backend) {
                    CompareBackend(after->name, old_backend, new_backend);
                  });
  }

  void CompareServiceFields(const Service& before, const Service& after) {
    if (before.customer != after.customer) {
      Add(ChangeKind::kServiceChanged, after.name,
          fmt::format("service {}: customer {} -> {}", after.name, before.customer,
                      after.customer));
    }
    if (before.warm_up != after.warm_up) {
      Add(ChangeKind::kServiceChanged, after.name,
          fmt::format("service {}: warm_up {} -> {}", after.name, FormatSpan(before.warm_up),
                      FormatSpan(after.warm_up)));
    }
  }

  void CompareBackend(const ServiceName& service, const BackendServer* before,
                      const BackendServer* after) {
    if (after == nullptr) {
      Add(ChangeKind::kBackendRemoved, before->name,
          fmt::format("backend server {} is removed from {}", before->name, service));
      return;
    }
    if (before == nullptr) {
      Add(ChangeKind::kBackendJoins, after->name,
          fmt::format("backend server {} joins {} in zone {} at {} with {} slots{}", after->name,
                      service, after->zone, FormatEndpoint(after->endpoint), after->slots,
                      after->intent == BackendIntent::kLeaving ? " (leaving)" : ""));
      return;
    }
    if (before->intent != after->intent) {
      bool leaves = after->intent == BackendIntent::kLeaving;
      Add(leaves ? ChangeKind::kBackendLeaves : ChangeKind::kBackendReturns, after->name,
          fmt::format("backend server {} {} {}", after->name, leaves ? "leaves" : "returns to",
                      service));
    }
    if (before->zone != after->zone || before->endpoint != after->endpoint) {
      Add(ChangeKind::kBackendMoves, after->name,
          fmt::format("backend server {} moves from {} in zone {} to {} in zone {}", after->name,
                      FormatEndpoint(before->endpoint), before->zone,
                      FormatEndpoint(after->endpoint), after->zone));
    }
    if (before->slots != after->slots || before->cold_slots != after->cold_slots ||
        before->connections != after->connections) {
      Add(ChangeKind::kBackendLimits, after->name,
          fmt::format("backend server {}: slots {} -> {}, cold slots {} -> {}, connections {} -> "
                      "{}",
                      after->name, before->slots, after->slots, before->cold_slots,
                      after->cold_slots, before->connections, after->connections));
    }
  }

  void CompareFront(const SearchFront* before, const SearchFront* after) {
    if (after == nullptr) {
      Add(ChangeKind::kFrontRemoved, before->name,
          fmt::format("front {} is removed", before->name));
      return;
    }
    if (before == nullptr) {
      Add(ChangeKind::kFrontAdded, after->name,
          fmt::format("front {} is added for service {}", after->name, after->service));
      return;
    }
    if (before->service != after->service || before->default_deadline != after->default_deadline) {
      Add(ChangeKind::kFrontChanged, after->name,
          fmt::format("front {}: service {} -> {}, default deadline {} -> {}", after->name,
                      before->service, after->service, FormatSpan(before->default_deadline),
                      FormatSpan(after->default_deadline)));
    }
    if (!(before->objective == after->objective)) {
      Add(ChangeKind::kObjectiveChanged, after->name,
          fmt::format("front {}: objective {} -> {}", after->name, ObjectiveText(before->objective),
                      ObjectiveText(after->objective)));
    }
  }

  static std::string ObjectiveText(const Objective& objective) {
    return fmt::format("{}% within {}, {}% complete", objective.latency_ratio * 100,
                       FormatSpan(objective.latency), objective.coverage_ratio * 100);
  }

  std::vector<ConfigChange> changes_;
};

}  // namespace

std::vector<ConfigChange> Difference(const ConfigDocument& from, const ConfigDocument& to) {
  return DifferenceBuilder().Build(from, to);
}

}  // namespace damaskroute
