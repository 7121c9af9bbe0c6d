#include "damaskroute/intent/planner.h"

#include <doctest/doctest.h>

#include "damaskroute/config/config_json.h"
#include "damaskroute/config/declaration.h"
#include "damaskroute/config/difference.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

// A configuration with the service "desk": two backend servers of 10 slots in each of three zones.
ConfigDocument ThreeZones() {
  ConfigDocument document;
  document.revision = 5;
  Service service{"desk", "shop", std::chrono::seconds(2), {}};
  std::uint16_t port = 9000;
  for (const char* zone : {"a", "b", "c"}) {
    document.zones.push_back({zone, "north", ZoneState::kServing});
    for (int i = 0; i < 2; ++i) {
      service.backends.push_back({std::string(zone) + std::to_string(i),
                                  zone,
                                  {"127.0.0.1", ++port},
                                  10,
                                  1,
                                  30,
                                  BackendIntent::kServing});
    }
  }
  document.services.push_back(service);
  document.fronts.push_back({"desk", "desk", std::chrono::seconds(1), {}});
  return document;
}

TEST_CASE("differences are found, and equal configurations have none") {
  ConfigDocument from = ThreeZones();
  CHECK(Difference(from, from).empty());
  ConfigDocument to = from;
  to.zones[0].state = ZoneState::kOut;
  auto& backends = to.services[0].backends;
  backends[1].intent = BackendIntent::kLeaving;
  backends[2].slots = 12;
  backends[3].endpoint.port = 1;
  backends.erase(backends.begin() + 4);
  backends.push_back({"new", "c", {"127.0.0.1", 9100}, 3, 1, 30, BackendIntent::kServing});
  to.fronts[0].objective.latency = std::chrono::milliseconds(90);
  std::vector<std::string> kinds;
  for (const ConfigChange& change : Difference(from, to)) {
    kinds.push_back(fmt::format("{} {}", ChangeKindName(change.kind), change.subject));
  }
  CHECK(kinds == std::vector<std::string>{"zone_out a", "backend_leaves a1", "backend_limits b0",
                                          "backend_moves b1", "backend_removed c0",
                                          "backend_joins new", "objective_changed desk"});
  CHECK(Difference(from, to).back().text ==
        "front desk: objective 99% within 70ms, 99.9% complete -> 99% within 90ms, 99.9% complete");
}

TEST_CASE("taking out a zone needs an override if it overloads the other zones") {
  ConfigDocument base = ThreeZones();
  ConfigDocument one_out = *WithZoneState(base, "a", ZoneState::kOut);
  Plan plan = *Planner().MakePlan(base, one_out);
  // 36 of 60 slots are busy, and 40 remain.
  CHECK_FALSE(plan.needs_override);
  REQUIRE(plan.consequences.size() == 1);
  CHECK(plan.consequences[0].slots_before == 60);
  CHECK(plan.consequences[0].slots_after == 40);
  CHECK(plan.consequences[0].connections_to_open == 0);
  CHECK(plan.consequences[0].zones[0] == ZoneCapacity{"a", 20, 0});
  CHECK(Planner().MakePlan(base, one_out, {{"desk", 38.5}})->needs_override);
  ConfigDocument two_out = *WithZoneState(one_out, "b", ZoneState::kOut);
  CHECK(Planner().MakePlan(base, two_out)->needs_override);
  CHECK_FALSE(Planner().MakePlan(base, two_out, {{"desk", 5}})->needs_override);
  ConfigDocument all_out = *WithZoneState(two_out, "c", ZoneState::kOut);
  plan = *Planner().MakePlan(base, all_out, {{"desk", 0}});
  CHECK(plan.needs_override);
  CHECK(plan.warnings == std::vector<std::string>{
                             "service desk is left without a backend server that accepts work"});
  CHECK_FALSE(WithZoneState(base, "d", ZoneState::kOut).ok());
}

TEST_CASE("a zone that returns opens its connections and gives a warning that it is cold") {
  ConfigDocument out = *WithZoneState(ThreeZones(), "a", ZoneState::kOut);
  Plan plan = *Planner().MakePlan(out, ThreeZones());
  CHECK_FALSE(plan.needs_override);
  CHECK(plan.consequences.at(0).connections_to_open == 60);
  CHECK(plan.warnings == std::vector<std::string>{
                             "zone a returns with 2 cold backend servers: 2 of 20 slots until they "
                             "are warm"});
}

TEST_CASE("removing a service or its last serving backend server needs an override") {
  ConfigDocument base = ThreeZones();
  ConfigDocument removed = base;
  removed.services.clear();
  removed.fronts.clear();
  CHECK(Planner().MakePlan(base, removed)->needs_override);
  ConfigDocument leaving = base;
  for (const BackendServer& backend : base.services[0].backends) {
    leaving = *WithBackendIntent(leaving, backend.name, BackendIntent::kLeaving);
  }
  CHECK(Planner().MakePlan(base, leaving)->needs_override);
}

TEST_CASE("the plan id depends only on base revision and content, so any node can reproduce it") {
  ConfigDocument base = ThreeZones();
  ConfigDocument out = *WithZoneState(base, "a", ZoneState::kOut);
  std::string id = Planner().MakePlan(base, out)->id;
  CHECK(Planner({0.1, 0.2}).MakePlan(base, out, {{"desk", 50}})->id == id);
  ConfigDocument confirmed = out;
  confirmed.revision = 9;
  confirmed.change_id = std::string("change-1");
  CHECK(Planner().MakePlan(base, confirmed)->id == id);
  CHECK(Planner().MakePlan(base, base)->id != id);
  base.revision = 6;
  CHECK(Planner().MakePlan(base, out)->id != id);
}

TEST_CASE("the JSON of a configuration is a declaration of the same content") {
  ConfigDocument base = ThreeZones();
  base.revision = 0;
  base.zones[1].region.clear();
  base.services[0].backends[1].intent = BackendIntent::kLeaving;
  absl::StatusOr<ConfigDocument> parsed = ParseDeclaration({{"config.json", ConfigJson(base)}});
  REQUIRE_MESSAGE(parsed.ok(), parsed.status().message());
  CHECK(*parsed == base);
}

}  // namespace
}  // namespace damaskroute
