#include "damaskroute/scatter/partition_view.h"

#include <doctest/doctest.h>

#include "tests/scatter_fixture.h"

namespace damaskroute {
namespace {

TEST_CASE("a delayed older report does not replace a newer one") {
  Fleet fleet(2, 1);
  BackendReport report{
      .holder = "h0", .sequence = 1, .service = "s", .backend = Fleet::Backend(0, 0), .held = {}};
  CHECK_FALSE(fleet.reports.Apply(report));
  CHECK(ChooseVersion(*fleet.View()) == IndexVersion{1});
  CHECK(fleet.View()->Find(1)->covered == kKeySpaceSize);
  CHECK(fleet.reports.RemoveHolder("h0"));
  CHECK_FALSE(ChooseVersion(*fleet.View()).has_value());
}

TEST_CASE(
    "chooses the newest version that covers the key space, otherwise the one with most coverage") {
  Fleet fleet(4, 2);
  fleet.Report(0, 0, {1, 2}, 2);
  CHECK(ChooseVersion(*fleet.View()) == IndexVersion{1});
  for (int shard = 1; shard < 4; ++shard) fleet.Report(shard, 1, {1, 2}, 2);
  CHECK(ChooseVersion(*fleet.View()) == IndexVersion{2});
  fleet.Report(0, 0, {2}, 0);  // No share: shard 0 has no replica at version 2.
  CHECK(ChooseVersion(*fleet.View()) == IndexVersion{1});
  fleet.Report(0, 1, {3}, 2);  // Neither covers all; version 1 has three of four shards.
  CHECK(ChooseVersion(*fleet.View()) == IndexVersion{2});
  CHECK(fleet.View()->Find(2)->covered == kKeySpaceSize / 4 * 3);
}

TEST_CASE("excludes backend servers that are leaving or in a zone that is out") {
  Fleet fleet(2, 2);
  fleet.config_.zones[0].state = ZoneState::kOut;
  fleet.config_.services[0].backends[3].intent = BackendIntent::kLeaving;
  auto view = fleet.View();
  REQUIRE(view->replicas.size() == 1);
  CHECK(view->replicas[0].zone == "z1");
}

TEST_CASE("overlapping partitions are split at every boundary and invalid ranges are ignored") {
  Fleet fleet(1, 3);
  auto report = [&](int zone, const KeyRange& range) {
    fleet.reports.Apply({.holder = fmt::format("h{}", zone),
                         .sequence = 100,
                         .service = "s",
                         .backend = Fleet::Backend(0, zone),
                         .boot_id = 1,
                         .state = BackendState::kWarm,
                         .share = 1,
                         .held = {{1, range}}});
  };
  report(0, {0, 100});
  report(1, {50, 150});
  report(2, {7, kKeySpaceSize + 5});
  auto view = fleet.View();
  const VersionMap* map = view->Find(1);
  REQUIRE(map->segments.size() == 3);
  CHECK(map->segments[1].range == KeyRange{50, 100});
  CHECK(map->segments[1].replicas.size() == 2);
  CHECK(map->covered == 150);
  CHECK(map->Find(150) == nullptr);
  CHECK(map->FirstEndingAfter(149) == &map->segments[2]);
}

TEST_CASE(
    "selection prefers less loaded replicas, avoids failing ones and weights holders by share") {
  Fleet fleet(1, 2);
  fleet.reports.Apply({.holder = "x",
                       .sequence = 1000,
                       .service = "s",
                       .backend = Fleet::Backend(0, 0),
                       .boot_id = 1,
                       .state = BackendState::kWarm,
                       .share = 6,
                       .held = {{1, kWholeKeySpace}}});
  auto view = fleet.View();
  const Segment& segment = view->Find(1)->segments[0];
  ReplicaSelector selector("z1");
  Random random(3);
  ManualClock clock;
  auto choose = [&] { return *selector.Choose(*view, segment, {}, clock.Now(), random); };
  std::map<NodeName, int> calls;
  for (int i = 0; i < 100; ++i) {
    ReplicaChoice choice = choose();
    ++calls[choice.holder->node];
    ReplicaSelector::OnSent(choice);
  }
  CHECK(calls["x"] == 60);  // 6 of 10 slots.
  CHECK(calls["h0"] == 20);
  CHECK(calls["h1"] == 20);
  for (int i = 0; i < 5; ++i) {  // A failing replica is avoided for 250 ms.
    ReplicaChoice choice{&view->replicas[0], &view->replicas[0].holders[0]};
    ReplicaSelector::OnSent(choice);
    ReplicaSelector::OnOutcome(choice, ShardOutcome::kConnectionLost, clock.Now());
  }
  for (int i = 0; i < 20; ++i) CHECK(choose().replica == &view->replicas[1]);
  Exclusion excluded{&view->replicas[1].backend, nullptr};
  auto rest = selector.Choose(*view, segment, {&excluded, 1}, clock.Now(), random);
  REQUIRE(rest.has_value());  // A failing replica is better than none.
  CHECK(rest->replica == &view->replicas[0]);
}

}  // namespace
}  // namespace damaskroute
