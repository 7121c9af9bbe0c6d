#include <doctest/doctest.h>

#include "tests/support/rollout_simulation.h"

// Rollouts while the holder of the record, the store or the order fails: the state machines of all
// nodes with a store in simulated time.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RolloutScenario Scenario(VersionKind kind) {
  RolloutScenario scenario;
  scenario.kind = kind;
  scenario.duration = seconds(30);
  scenario.nodes = 6;
  scenario.seed = 5;
  return scenario;
}

RolloutSimulation::Node& AwaitHolder(RolloutSimulation& simulation) {
  milliseconds at{0};
  while (simulation.Holder() == nullptr && at < seconds(5)) {
    simulation.RunUntil(at += milliseconds(20));
  }
  REQUIRE(simulation.Holder() != nullptr);
  return *simulation.Holder();
}

// Guards against a rollout that stays undecided after its holder has died or was cut off.
TEST_CASE("another node takes over from a holder that dies or is cut off") {
  for (bool dies : {true, false}) {
    for (auto kind : {VersionKind::kGood, VersionKind::kBadLate}) {
      RolloutSimulation simulation(Scenario(kind));
      simulation.Order("v2");
      RolloutSimulation::Node& holder = AwaitHolder(simulation);
      NodeName first = holder.name;
      if (dies) {
        simulation.EndNode(holder);
      } else {
        holder.cut_off = true;
      }
      simulation.RunToDeadline();
      CHECK(simulation.record().record.holder != first);
      CHECK(simulation.Ended(kind == VersionKind::kGood ? RolloutState::kSucceeded
                                                        : RolloutState::kRolledBack));
    }
  }
}

// Guards against a write that was decided before a freeze and takes effect after another node has
// decided otherwise.
TEST_CASE("a write that a frozen holder sends late has no effect") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  RolloutSimulation::Node& holder = AwaitHolder(simulation);
  holder.freeze_on_decision = true;
  simulation.RunUntil(seconds(30) - milliseconds(200));
  REQUIRE(holder.frozen);
  REQUIRE(holder.frozen_write);
  RolloutState decided = simulation.stored_state();
  CHECK(simulation.record().record.holder != holder.name);
  holder.frozen = false;
  simulation.RunUntil(seconds(35));
  CHECK(simulation.stored_state() >= decided);
  CHECK(IsFinal(simulation.stored_state()));
  CHECK(holder.decider->state() == simulation.stored_state());
}

// Guards against calls to a version that was rolled back while the node was frozen.
TEST_CASE("a node that was frozen sends no call to the target version before it has news") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  simulation.RunUntil(seconds(10));
  RolloutDecider& decider = *simulation.nodes()[0].decider;
  TimePoint wake = simulation.now() + seconds(8);
  CHECK_FALSE(decider.Allows("v2", wake));
  decider.OnTick(wake, seconds(9));
  CHECK_FALSE(decider.Allows("v2", wake));
  CHECK(decider.Allows("v1", wake));
}

// Guards against calls to a version that other nodes rolled back while this node could not reach
// the store, and against refused requests while the store is away for all nodes.
TEST_CASE("a node without news of the store avoids a version that is being promoted") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  simulation.RunUntil(seconds(10));
  RolloutDecider& decider = *simulation.nodes()[0].decider;
  simulation.store_up = false;
  simulation.RunUntil(seconds(17));
  RolloutRecord record = simulation.record().record;
  record.state = RolloutState::kPromoting;
  decider.OnRecord(record, simulation.record().revision + 1000, simulation.now());
  CHECK(decider.Allows("v1", simulation.now()));
  VersionPreference preference = decider.PreferenceFor(false, simulation.now());
  REQUIRE(preference.version != nullptr);
  CHECK(preference.avoid);
  decider.SetVersions({"v2"});
  CHECK(decider.Allows("v2", simulation.now()));
  CHECK_FALSE(decider.PreferenceFor(false, simulation.now()).avoid);
}

// Guards against a bad version that is used on while no decision can be written, and against a
// promotion after the deadline.
TEST_CASE("nodes stop a bad version on their own evidence while the store is away") {
  RolloutScenario scenario = Scenario(VersionKind::kBadAtOnce);
  scenario.requests_per_second = 200;
  RolloutSimulation simulation(scenario);
  simulation.Order("v2");
  simulation.RunUntil(seconds(2));  // All nodes know the order.
  REQUIRE(simulation.HasStatus(RolloutState::kRunning));
  simulation.store_up = false;
  simulation.RunUntil(seconds(25));
  CHECK(simulation.target_requests < simulation.MaxTargetRequests());
  for (auto& node : simulation.nodes()) CHECK(node.decider->stopped());
  simulation.RunUntil(seconds(40));
  simulation.store_up = true;
  simulation.RunUntil(seconds(50));
  CHECK(simulation.stored_state() == RolloutState::kRolledBack);
  CHECK(simulation.target_after_rollback == 0);
}

// Guards against a good version that is promoted after the deadline, which the operator no longer
// expects.
TEST_CASE("a rollout whose deadline passes while the store is away is rolled back") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  simulation.RunUntil(seconds(2));  // All nodes know the order.
  REQUIRE(simulation.HasStatus(RolloutState::kRunning));
  simulation.store_up = false;
  simulation.RunUntil(seconds(31));
  int before = simulation.target_requests;
  simulation.RunUntil(seconds(40));
  CHECK(simulation.target_requests == before);
  simulation.store_up = true;
  simulation.RunUntil(seconds(50));
  CHECK(simulation.HasStatus(RolloutState::kRolledBack));
}

// Guards against a decision that is lost with the store's latest writes.
TEST_CASE("a decision survives a restore of the store from an older copy") {
  for (auto kind : {VersionKind::kGood, VersionKind::kBadAtOnce}) {
    RolloutSimulation simulation(Scenario(kind));
    simulation.Order("v2");
    simulation.RunUntil(seconds(3));
    RolloutSimulation::Item early = simulation.record();
    REQUIRE(early.record.state == RolloutState::kRunning);
    simulation.RunToDeadline();
    RolloutState decided = simulation.stored_state();
    REQUIRE(IsFinal(decided));
    for (const auto& copy : {early, RolloutSimulation::Item()}) {
      simulation.Restore(copy);
      simulation.RunUntil(simulation.now() - TimePoint(std::chrono::hours(1)) + seconds(6));
      CHECK(simulation.stored_state() == decided);
      CHECK(simulation.HasStatus(decided));
      CHECK(simulation.target_after_rollback + simulation.old_after_success == 0);
    }
  }
}

// Guards against calls to the target version after the order was withdrawn, and against a decision
// on an order that no longer exists.
TEST_CASE("after the order is withdrawn all calls go to the old version") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  simulation.RunUntil(seconds(8));
  simulation.Withdraw();
  simulation.RunUntil(seconds(11));
  int before = simulation.target_requests;
  simulation.RunUntil(seconds(40));
  CHECK(simulation.target_requests == before);
  CHECK(simulation.stored_state() == RolloutState::kWithdrawn);
  CHECK(simulation.status().empty());
  CHECK(simulation.refused == 0);
}

// Guards against evidence on one version that decides on another, and against an order that comes
// again and is taken for the one that was decided.
TEST_CASE("an order that comes again restarts the rollout") {
  RolloutSimulation simulation(Scenario(VersionKind::kBadAtOnce));
  simulation.Order("v2");
  simulation.RunUntil(seconds(15));
  REQUIRE(simulation.HasStatus(RolloutState::kRolledBack));
  simulation.Order("v2");
  simulation.RunUntil(seconds(4));
  CHECK(simulation.HasStatus(RolloutState::kRunning));
  CHECK(simulation.target_requests > 0);
  simulation.RunToDeadline();
  CHECK(simulation.HasStatus(RolloutState::kRolledBack));
}

// Guards against calls to a rolled-back version from a node that knows the decision only from the
// store, with or without an order.
TEST_CASE("a node that starts after a decision follows it") {
  for (bool withdrawn : {false, true}) {
    for (auto kind : {VersionKind::kGood, VersionKind::kBadAtOnce}) {
      RolloutSimulation simulation(Scenario(kind));
      simulation.Order("v2");
      simulation.RunToDeadline();
      if (withdrawn) simulation.Withdraw();
      simulation.RunUntil(seconds(35));
      simulation.StartNode("late");
      RolloutDecider& decider = *simulation.nodes().back().decider;
      bool good = kind == VersionKind::kGood;
      CHECK(decider.Allows("v2", simulation.now()) == good);
      CHECK(decider.Allows("v1", simulation.now()) == !good);
      simulation.RunUntil(seconds(45));
      CHECK(simulation.target_after_rollback + simulation.old_after_success == 0);
    }
  }
}

// Guards against an outage of the service because a version was ordered that has no servers.
TEST_CASE("an order for a version without servers changes nothing") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.SetVersions({"v1"});
  simulation.Order("v2");
  simulation.RunUntil(seconds(40));
  CHECK(simulation.status().empty());
  CHECK(simulation.record().revision == 0);
  CHECK(simulation.refused == 0);
}

// Guards against refused requests when the old servers are gone before the rollout has ended.
TEST_CASE("the target version gets all calls when no other version has servers") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  simulation.RunUntil(seconds(5));
  simulation.SetVersions({"v2"});
  simulation.RunToDeadline();
  CHECK(simulation.refused == 0);
  CHECK(simulation.Ended(RolloutState::kSucceeded));
}

// Guards against a promotion on almost no evidence.
TEST_CASE("with too little evidence the version is rolled back, and the reason says so") {
  RolloutScenario scenario = Scenario(VersionKind::kGood);
  scenario.requests_per_second = 0.3;
  RolloutSimulation simulation(scenario);
  simulation.Order("v2");
  simulation.RunToDeadline();
  CHECK(simulation.Ended(RolloutState::kRolledBack));
  bool said = false;
  for (auto& node : simulation.nodes()) {
    for (const auto& event : node.decider->TakeEvents()) {
      said = said || event.reason == "too little evidence";
    }
  }
  CHECK(said);
}

// Guards against a success that stops the old servers although no new server is left.
TEST_CASE("a promotion is rolled back when the target version has no servers any more") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  milliseconds at{0};
  while (simulation.stored_state() != RolloutState::kPromoting && at < seconds(30)) {
    simulation.RunUntil(at += milliseconds(20));
  }
  REQUIRE(simulation.stored_state() == RolloutState::kPromoting);
  simulation.SetVersions({"v1"});
  simulation.RunUntil(seconds(35));
  CHECK(simulation.HasStatus(RolloutState::kRolledBack));
}

// Guards against calls to old servers after `succeeded`, which a report of this node allowed.
TEST_CASE("a node that has reported a promotion does not return to the old version by itself") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  RolloutDecider& decider = *simulation.nodes()[0].decider;
  milliseconds at{0};
  while (decider.state() != RolloutState::kPromoting && at < seconds(30)) {
    simulation.RunUntil(at += milliseconds(20));
  }
  simulation.RunUntil(at + milliseconds(600));
  REQUIRE(decider.state() == RolloutState::kPromoting);
  for (int i = 0; i < 100; ++i) {
    decider.OnResponse("v2", "r0", /*failed=*/true, milliseconds(20), simulation.now());
  }
  REQUIRE(decider.stopped());
  CHECK_FALSE(decider.Allows("v1", simulation.now()));
  CHECK(decider.SeenState() == RolloutState::kPromoting);
}

// Guards against a service without any allowed version after a rollback of the promoted one.
TEST_CASE("an order for the version that is promoted already succeeds at once") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.Order("v2");
  simulation.RunToDeadline();
  REQUIRE(simulation.HasStatus(RolloutState::kSucceeded));
  simulation.Order("v2");
  simulation.RunUntil(seconds(5));
  CHECK(simulation.HasStatus(RolloutState::kSucceeded));
  CHECK(simulation.record().record.order == simulation.nodes()[0].decider->known()->order);
  simulation.RunUntil(seconds(40));
  CHECK(simulation.nodes()[0].decider->Allows("v2", simulation.now()));
  CHECK(simulation.refused == 0);
}

// Guards against a restarted node that blocks the version to which all others send their calls.
TEST_CASE("a node that starts with an unusable order follows a promotion in progress") {
  RolloutDecider decider("desk", "n0", RolloutOptions(), 7);
  TimePoint now{std::chrono::hours(1)};
  RolloutRecord record = {
      .order = 5, .target_version = "v2", .state = RolloutState::kPromoting, .holder = "n1"};
  decider.OnRecord(record, 6, now);
  decider.OnOrderUnusable(7);
  decider.SetVersions({"v1", "v2"});
  CHECK(decider.Allows("v2", now));
  CHECK_FALSE(decider.Allows("v1", now));
  decider.OnOrderRemoved(now);
  CHECK_FALSE(decider.Allows("v2", now));
  CHECK(decider.Allows("v1", now));
}

// Guards against an outage when servers of the ordered version start late and replace all others.
TEST_CASE("a version whose order ran out before it had servers is used when it is the only one") {
  RolloutSimulation simulation(Scenario(VersionKind::kGood));
  simulation.SetVersions({"v1"});
  simulation.Order("v2");
  simulation.RunUntil(seconds(40));
  simulation.SetVersions({"v2"});
  simulation.RunUntil(seconds(45));
  CHECK(simulation.refused == 0);
}

}  // namespace
}  // namespace damaskroute
