#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <unordered_set>

#include "damaskroute/core/hash.h"
#include "damaskroute/core/random.h"
#include "tests/share_world.cc"  // NOLINT(bugprone-suspicious-include): one program per test file.

namespace damaskroute {
namespace {

std::vector<ConfigDocument> Configs(int backends, int slots, int later_slots) {
  std::vector<ConfigDocument> configs;
  for (int value : {slots, later_slots}) {
    ConfigDocument config;
    config.change_id = fmt::format("{} {} {}", backends, slots, later_slots);
    config.zones.push_back({"zone", "r", {}});
    Service service;
    service.name = "s";
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

// Visits every state that can be reached within the world's limits.
Exploration Explore(const ShareWorld& start, std::size_t max_states) {
  Exploration result;
  struct Hash {
    std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& key) const {
      return key.first;
    }
  };
  std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> seen;
  auto is_new = [&](const ShareWorld& world) {
    std::string key = world.Key();
    return seen.emplace(Hash64(key, 1), Hash64(key, 2)).second;
  };
  std::vector<ShareWorld> open{start};
  is_new(start);
  while (!open.empty() && seen.size() < max_states) {
    ShareWorld world = std::move(open.back());
    open.pop_back();
    for (const ShareWorld::Event& event : world.Events()) {
      ShareWorld next = world;
      next.Apply(event);
      ++result.transitions;
      if (!is_new(next)) continue;
      result.violation = next.Violation();
      if (!result.violation.empty()) {
        result.violation += fmt::format(" after event {} of node {}\n{}before it:\n{}",
                                        static_cast<int>(event.kind), event.node, next.Describe(),
                                        world.Describe());
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

ShareWorld SettledWorld(int backends, int slots, int later_slots) {
  ShareWorld world(Configs(backends, slots, later_slots), 3, {});
  world.Join(0);
  world.Join(1);
  world.Settle();
  return world;
}

TEST_CASE("all orders of events around a change keep the sum of slots within the limit") {
  struct Case {
    int backends;
    int slots;
    int later_slots;
    ShareWorld::Limits limits;
  };
  // Two nodes have seats and a third one has none; then any `changes` joins, leaves, crashes,
  // restarts, removals and configuration changes happen at any moment.
  std::vector<Case> cases = {
      {1, 1, 1, {1, 3, true, false}},  {1, 2, 2, {1, 3, true, false}},
      {1, 3, 3, {1, 3, true, false}},  {1, 2, 1, {1, 3, true, true}},
      {2, 1, 1, {1, 1, false, false}}, {2, 3, 3, {1, 1, false, false}},
      {1, 1, 1, {2, 2, false, false}}, {1, 3, 1, {2, 1, false, true}},
  };
  // DAMASK_EXPLORE_MORE adds the cases that take minutes.
  if (std::getenv("DAMASK_EXPLORE_MORE") != nullptr) {
    cases.push_back({1, 1, 1, {2, 2, true, false}});
    cases.push_back({1, 3, 3, {2, 2, false, false}});
    cases.push_back({2, 3, 3, {1, 2, false, false}});
  }
  std::size_t states = 0;
  std::size_t transitions = 0;
  for (const Case& c : cases) {
    ShareWorld world = SettledWorld(c.backends, c.slots, c.later_slots);
    CHECK(world.UsableSlots("x0") == c.slots);
    world.ResetBudget(c.limits);
    Exploration result = Explore(world, 4000000);
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

TEST_CASE("a first deployment waits for no call deadline, a restarted node does") {
  ShareWorld world(Configs(2, 3, 3), 3, {});
  world.Join(0);
  // One node claims without anyone to ask; no event lets the longest call pass.
  world.Apply({ShareWorld::Kind::kTick, 0});
  CHECK(world.UsableSlots("x0") == 3);
  world.Apply({ShareWorld::Kind::kCrash, 0});
  world.Join(0);
  world.Apply({ShareWorld::Kind::kTick, 0});
  CHECK(world.UsableSlots("x0") == 0);
  world.Apply({ShareWorld::Kind::kLate, 0});
  world.Apply({ShareWorld::Kind::kTick, 0});
  CHECK(world.UsableSlots("x0") == 3);
}

TEST_CASE("a restarted node makes no promise while calls of its predecessor may run") {
  using Kind = ShareWorld::Kind;
  for (int node : {0, 1}) {
    ShareWorld world = SettledWorld(1, 2, 2);
    world.ResetBudget({10, 30, true, false});
    int other = 1 - node;
    world.Apply({Kind::kStart, node, 0});
    world.Apply({Kind::kCrash, node});
    world.Join(node);
    // The other node becomes the owner of everything while the orphaned call runs.
    world.Apply({Kind::kLeave, node});
    for (int round = 0; round < 5; ++round) {
      for (const ShareWorld::Event& event : world.Events()) {
        bool passive = event.kind == Kind::kTick || event.kind == Kind::kDeliver ||
                       (event.kind == Kind::kLearn && event.node == other);
        if (passive) world.Apply(event);
        CHECK(world.Violation() == "");
      }
    }
    CHECK(world.Settle() == 2);
    CHECK(world.UsableSlots("x0") == 2);
  }
}

TEST_CASE("a restarted node keeps its seat while calls of its predecessor may run") {
  using Kind = ShareWorld::Kind;
  ShareWorld world = SettledWorld(1, 2, 2);
  world.ResetBudget({10, 30, true, false});
  world.Apply({Kind::kStart, 0, 0});
  world.Apply({Kind::kCrash, 0});
  world.Join(0);
  world.Apply({Kind::kLeave, 0});
  for (const ShareWorld::Event& event : world.Events()) {
    if (event.kind == Kind::kLearn) world.Apply(event);
  }
  for (const ShareWorld::Event& event : world.Events()) CHECK(event.kind != Kind::kLeft);
}

TEST_CASE("long random histories never exceed the limit, and afterwards all of it is used") {
  int histories = 0;
  int steps = 0;
  bool ok = rc::check("share handover", [&] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 20; ++i) {
      int slots = 1 + static_cast<int>(random.Below(3));
      ShareWorld world = SettledWorld(2, slots, 1 + static_cast<int>(random.Below(3)));
      world.ResetBudget({8, 30, true, true});
      ++histories;
      std::string trace;
      for (int step = 0; step < 250; ++step) {
        std::vector<ShareWorld::Event> events = world.Events();
        if (events.empty()) break;
        ++steps;
        const ShareWorld::Event& event = events[random.Below(events.size())];
        trace += fmt::format("{}:{}:{} ", static_cast<int>(event.kind), event.node, event.value);
        world.Apply(event);
        if (!world.Violation().empty()) {
          RC_FAIL(world.Violation() + " after " + trace + "\n" + world.Describe());
        }
      }
      int expected = world.Settle();
      RC_ASSERT(world.Violation() == "");
      if (expected < 0) continue;
      RC_ASSERT(world.UsableSlots("x0") == expected);
      RC_ASSERT(world.UsableSlots("x1") == expected);
    }
  });
  fmt::print("{} random histories, {} events\n", histories, steps);
  CHECK(ok);
}

}  // namespace
}  // namespace damaskroute
