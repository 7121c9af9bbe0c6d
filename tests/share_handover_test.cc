#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <unordered_set>

#include "damaskroute/core/hash.h"
#include "damaskroute/core/random.h"
#include "tests/share_simulation.cc"  // NOLINT(bugprone-suspicious-include): one program per test file.

namespace damaskroute {
namespace {

std::vector<ConfigDocument> Configs(int backends, int slots, int later_slots) {
  std::vector<ConfigDocument> configs;
  for (int value : {slots, later_slots}) {
    ConfigDocument config;
    config.change_id = fmt::format("{} {} {}", backends, slots, later_slots);
    config.zones.push_back({"zone", "r", {}});
    Service service = {.name = "s"};
    for (int i = 0; i < backends; ++i) {
      service.backends.push_back({fmt::format("x{}", i), "zone", {}, value, 1, value, {}});
    }
    config.services.push_back(service);
    configs.push_back(config);
  }
  return configs;
}

struct Exploration {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::string violation;
};

// Visits every state that is reachable within the limits of the simulation.
Exploration Explore(const ShareSimulation& start, std::size_t max_states) {
  Exploration result;
  struct Hash {
    std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& key) const {
      return key.first;
    }
  };
  std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> seen;
  auto is_new = [&](const ShareSimulation& simulation) {
    std::string key = simulation.Key();
    return seen.emplace(Hash64(key, 1), Hash64(key, 2)).second;
  };
  std::vector<ShareSimulation> open{start};
  is_new(start);
  while (!open.empty() && seen.size() < max_states) {
    ShareSimulation simulation = std::move(open.back());
    open.pop_back();
    for (const ShareSimulation::Event& event : simulation.Events()) {
      ShareSimulation next = simulation;
      next.Apply(event);
      ++result.transitions;
      if (!is_new(next)) continue;
      result.violation = next.Violation();
      if (!result.violation.empty()) {
        result.violation += fmt::format(" after event {} of node {}\n{}before it:\n{}",
                                        static_cast<int>(event.kind), event.node, next.Describe(),
                                        simulation.Describe());
        result.states = seen.size();
        return result;
      }
      open.push_back(std::move(next));
    }
  }
  result.states = seen.size();
  if (!open.empty()) result.violation = "not all states were visited";
  return result;
}

ShareSimulation StableSimulation(int backends, int slots, int later_slots) {
  ShareSimulation simulation(Configs(backends, slots, later_slots), 3, {});
  simulation.Join(0);
  simulation.Join(1);
  simulation.RunUntilStable();
  return simulation;
}

TEST_CASE("the sum of slots stays within the limit for all orders of events around a change") {
  struct Case {
    int backends;
    int slots;
    int later_slots;
    ShareSimulation::Limits limits;
  };
  // Two nodes are in the roster and a third one is not. Then any `changes` joins, leaves, crashes,
  // restarts, removals and configuration changes happen at any moment.
  std::vector<Case> cases = {
      {1, 1, 1, {1, 3, true, false}},  {1, 2, 2, {1, 3, true, false}},
      {1, 3, 3, {1, 3, true, false}},  {1, 2, 1, {1, 3, true, true}},
      {2, 1, 1, {1, 1, false, false}}, {2, 3, 3, {1, 1, false, false}},
      {1, 1, 1, {2, 2, false, false}}, {1, 3, 1, {2, 1, false, true}},
  };
  // DAMASK_EXPLORE_MORE adds cases that take minutes.
  if (std::getenv("DAMASK_EXPLORE_MORE") != nullptr) {
    cases.push_back({1, 1, 1, {2, 2, true, false}});
    cases.push_back({1, 3, 3, {2, 2, false, false}});
    cases.push_back({2, 3, 3, {1, 2, false, false}});
  }
  std::size_t states = 0;
  std::size_t transitions = 0;
  for (const Case& c : cases) {
    ShareSimulation simulation = StableSimulation(c.backends, c.slots, c.later_slots);
    CHECK(simulation.UsableSlots("x0") == c.slots);
    simulation.ResetBudget(c.limits);
    Exploration result = Explore(simulation, 4000000);
    CHECK(result.violation == "");
    fmt::print(
        "{} backend servers, {} slots (later {}), {} changes, {} claims{}: {} states, {} "
        "transitions\n",
        c.backends, c.slots, c.later_slots, c.limits.changes, c.limits.claims,
        c.limits.both_halves ? "" : ", first halves", result.states, result.transitions);
    std::fflush(stdout);
    states += result.states;
    transitions += result.transitions;
  }
  fmt::print("handover exploration: {} states, {} transitions\n", states, transitions);
}

TEST_CASE("a first deployment claims shares at once, a restarted node waits for the longest call") {
  ShareSimulation simulation(Configs(2, 3, 3), 3, {});
  simulation.Join(0);
  // A single node claims without any peer to query. No event lets the longest call elapse.
  simulation.Apply({ShareSimulation::Kind::kTick, 0});
  CHECK(simulation.UsableSlots("x0") == 3);
  simulation.Apply({ShareSimulation::Kind::kCrash, 0});
  simulation.Join(0);
  simulation.Apply({ShareSimulation::Kind::kTick, 0});
  CHECK(simulation.UsableSlots("x0") == 0);
  simulation.Apply({ShareSimulation::Kind::kPredecessorEnded, 0});
  simulation.Apply({ShareSimulation::Kind::kTick, 0});
  CHECK(simulation.UsableSlots("x0") == 3);
}

TEST_CASE("a restarted node replies to no claim while calls of its earlier process may run") {
  using Kind = ShareSimulation::Kind;
  for (int node : {0, 1}) {
    ShareSimulation simulation = StableSimulation(1, 2, 2);
    simulation.ResetBudget({10, 30, true, false});
    int other = 1 - node;
    simulation.Apply({Kind::kStart, node, 0});
    simulation.Apply({Kind::kCrash, node});
    simulation.Join(node);
    // The other node becomes the owner of all shares while the orphaned call runs.
    simulation.Apply({Kind::kLeave, node});
    for (int round = 0; round < 5; ++round) {
      for (const ShareSimulation::Event& event : simulation.Events()) {
        bool passive = event.kind == Kind::kTick || event.kind == Kind::kDeliver ||
                       (event.kind == Kind::kReceiveRoster && event.node == other);
        if (passive) simulation.Apply(event);
        CHECK(simulation.Violation() == "");
      }
    }
    CHECK(simulation.RunUntilStable() == 2);
    CHECK(simulation.UsableSlots("x0") == 2);
  }
}

TEST_CASE("a restarted node keeps its roster entry while calls of its earlier process may run") {
  using Kind = ShareSimulation::Kind;
  ShareSimulation simulation = StableSimulation(1, 2, 2);
  simulation.ResetBudget({10, 30, true, false});
  simulation.Apply({Kind::kStart, 0, 0});
  simulation.Apply({Kind::kCrash, 0});
  simulation.Join(0);
  simulation.Apply({Kind::kLeave, 0});
  for (const ShareSimulation::Event& event : simulation.Events()) {
    if (event.kind == Kind::kReceiveRoster) simulation.Apply(event);
  }
  for (const ShareSimulation::Event& event : simulation.Events()) CHECK(event.kind != Kind::kLeft);
}

TEST_CASE("random histories never exceed the limit, and afterwards the whole limit is used") {
  int histories = 0;
  int steps = 0;
  bool ok = rc::check("share handover", [&] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 20; ++i) {
      int slots = 1 + static_cast<int>(random.Below(3));
      ShareSimulation simulation =
          StableSimulation(2, slots, 1 + static_cast<int>(random.Below(3)));
      simulation.ResetBudget({8, 30, true, true});
      ++histories;
      std::string trace;
      for (int step = 0; step < 250; ++step) {
        std::vector<ShareSimulation::Event> events = simulation.Events();
        if (events.empty()) break;
        ++steps;
        const ShareSimulation::Event& event = events[random.Below(events.size())];
        trace += fmt::format("{}:{}:{} ", static_cast<int>(event.kind), event.node, event.value);
        simulation.Apply(event);
        if (!simulation.Violation().empty()) {
          RC_FAIL(simulation.Violation() + " after " + trace + "\n" + simulation.Describe());
        }
      }
      int expected = simulation.RunUntilStable();
      RC_ASSERT(simulation.Violation() == "");
      if (expected < 0) continue;
      RC_ASSERT(simulation.UsableSlots("x0") == expected);
      RC_ASSERT(simulation.UsableSlots("x1") == expected);
    }
  });
  fmt::print("{} random histories, {} events\n", histories, steps);
  CHECK(ok);
}

}  // namespace
}  // namespace damaskroute
