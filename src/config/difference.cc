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
    Pair(from.zones, to.zones, [this](const Zone* a, const Zone* b) { CompareZone(a, b); });
    Pair(from.services, to.services,
         [this](const Service* a, const Service* b) { CompareService(a, b); });
    Pair(from.fronts, to.fronts,
         [this](const SearchFront* a, const SearchFront* b) { CompareFront(a, b); });
    return std::move(changes_);
  }

 private:
  // Calls `compare` for each name with the entry of either list, nullptr where it is absent.
  template <typename T, typename Compare>
  static void Pair(const std::vector<T>& from, const std::vector<T>& to, Compare compare) {
    std::map<std::string, std::pair<const T*, const T*>> by_name;
    for (const T& entry : from) by_name[entry.name].first = &entry;
    for (const T& entry : to) by_name[entry.name].second = &entry;
    for (const auto& [name, pair] : by_name) compare(pair.first, pair.second);
  }

  void Add(ChangeKind kind, const std::string& subject, std::string text) {
    changes_.push_back({kind, subject, std::move(text)});
  }

  void CompareZone(const Zone* a, const Zone* b) {
    if (b == nullptr) {
      Add(ChangeKind::kZoneRemoved, a->name, fmt::format("zone {} is removed", a->name));
      return;
    }
    if (a == nullptr) {
      const char* state = b->state == ZoneState::kOut ? "out" : "serving";
      Add(ChangeKind::kZoneAdded, b->name, fmt::format("zone {} is added ({})", b->name, state));
      return;
    }
    if (a->state != b->state) {
      bool out = b->state == ZoneState::kOut;
      Add(out ? ChangeKind::kZoneOut : ChangeKind::kZoneBack, b->name,
          fmt::format("zone {} {}", b->name, out ? "goes out" : "returns to service"));
    }
    if (a->region != b->region) {
      Add(ChangeKind::kZoneChanged, b->name,
          fmt::format("zone {}: region {} -> {}", b->name, a->region, b->region));
    }
  }

  void CompareService(const Service* a, const Service* b) {
    if (b == nullptr) {
      Add(ChangeKind::kServiceRemoved, a->name,
          fmt::format("service {} is removed with {} backend servers", a->name,
                      a->backends.size()));
      return;
    }
    static const CowVector<BackendServer> no_backends;
    if (a == nullptr) {
      Add(ChangeKind::kServiceAdded, b->name,
          fmt::format("service {} of customer {} is added", b->name, b->customer));
    } else {
      CompareServiceFields(*a, *b);
    }
    Pair((a == nullptr ? no_backends : a->backends).get(), b->backends.get(),
         [&](const BackendServer* x, const BackendServer* y) { CompareBackend(b->name, x, y); });
  }

  void CompareServiceFields(const Service& a, const Service& b) {
    if (a.customer != b.customer) {
      Add(ChangeKind::kServiceChanged, b.name,
          fmt::format("service {}: customer {} -> {}", b.name, a.customer, b.customer));
    }
    if (a.warm_up != b.warm_up) {
      Add(ChangeKind::kServiceChanged, b.name,
          fmt::format("service {}: warm_up {} -> {}", b.name, FormatSpan(a.warm_up),
                      FormatSpan(b.warm_up)));
    }
  }

  void CompareBackend(const ServiceName& service, const BackendServer* a, const BackendServer* b) {
    if (b == nullptr) {
      Add(ChangeKind::kBackendRemoved, a->name,
          fmt::format("backend server {} is removed from {}", a->name, service));
      return;
    }
    if (a == nullptr) {
      Add(ChangeKind::kBackendJoins, b->name,
          fmt::format("backend server {} joins {} in zone {} at {} with {} slots{}", b->name,
                      service, b->zone, FormatEndpoint(b->endpoint), b->slots,
                      b->intent == BackendIntent::kLeaving ? " (leaving)" : ""));
      return;
    }
    if (a->intent != b->intent) {
      bool leaves = b->intent == BackendIntent::kLeaving;
      Add(leaves ? ChangeKind::kBackendLeaves : ChangeKind::kBackendReturns, b->name,
          fmt::format("backend server {} {} {}", b->name, leaves ? "leaves" : "returns to",
                      service));
    }
    if (a->zone != b->zone || a->endpoint != b->endpoint) {
      Add(ChangeKind::kBackendMoves, b->name,
          fmt::format("backend server {} moves from {} in zone {} to {} in zone {}", b->name,
                      FormatEndpoint(a->endpoint), a->zone, FormatEndpoint(b->endpoint), b->zone));
    }
    if (a->slots != b->slots || a->cold_slots != b->cold_slots ||
        a->connections != b->connections) {
      Add(ChangeKind::kBackendLimits, b->name,
          fmt::format("backend server {}: slots {} -> {}, cold slots {} -> {}, connections {} -> "
                      "{}",
                      b->name, a->slots, b->slots, a->cold_slots, b->cold_slots, a->connections,
                      b->connections));
    }
  }

  void CompareFront(const SearchFront* a, const SearchFront* b) {
    if (b == nullptr) {
      Add(ChangeKind::kFrontRemoved, a->name, fmt::format("front {} is removed", a->name));
      return;
    }
    if (a == nullptr) {
      Add(ChangeKind::kFrontAdded, b->name,
          fmt::format("front {} is added for service {}", b->name, b->service));
      return;
    }
    if (a->service != b->service || a->default_deadline != b->default_deadline) {
      Add(ChangeKind::kFrontChanged, b->name,
          fmt::format("front {}: service {} -> {}, default deadline {} -> {}", b->name, a->service,
                      b->service, FormatSpan(a->default_deadline),
                      FormatSpan(b->default_deadline)));
    }
    if (!(a->objective == b->objective)) {
      Add(ChangeKind::kObjectiveChanged, b->name,
          fmt::format("front {}: objective {} -> {}", b->name, ObjectiveText(a->objective),
                      ObjectiveText(b->objective)));
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
