#include "damaskroute/store/lease_schedule.h"

#include <doctest/doctest.h>

#include "damaskroute/node/node_count.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a key is written under a lease, which is renewed well before it ends") {
  LeaseSchedule schedule(seconds(30), 1);
  ManualClock clock;
  CHECK(schedule.Next(clock.Now()).kind == LeaseStepKind::kOpen);
  schedule.OnOpened(77, seconds(30));
  CHECK(schedule.Next(clock.Now()).kind == LeaseStepKind::kWrite);
  CHECK(schedule.Next(clock.Now()).lease == 77);
  schedule.OnRenewed(clock.Now());
  LeaseStep pause = schedule.Next(clock.Now());
  CHECK(pause.kind == LeaseStepKind::kPause);
  CHECK(pause.until - clock.Now() <= seconds(15));
  clock.Advance(pause.until - clock.Now());
  CHECK(schedule.Next(clock.Now()).kind == LeaseStepKind::kRenew);
}

TEST_CASE("a new lease is opened when the lease has ended in an outage") {
  LeaseSchedule schedule(seconds(30), 1);
  ManualClock clock;
  schedule.OnOpened(77, seconds(30));
  schedule.OnRenewed(clock.Now());
  clock.Advance(seconds(10));
  schedule.OnEnded();
  CHECK(schedule.Next(clock.Now()).kind == LeaseStepKind::kOpen);
  CHECK_FALSE(schedule.is_written());
}

TEST_CASE(
    "a new lease is opened soon after a restore of the store, although the old one seems valid") {
  LeaseSchedule schedule(seconds(30), 1);
  ManualClock clock;
  schedule.OnOpened(77, seconds(30));
  schedule.OnRenewed(clock.Now());
  schedule.OnStoreRestored(clock.Now());
  LeaseStep pause = schedule.Next(clock.Now());
  CHECK(pause.kind == LeaseStepKind::kPause);
  CHECK(pause.until - clock.Now() <= seconds(2));
  clock.Advance(pause.until - clock.Now());
  CHECK(schedule.Next(clock.Now()).kind == LeaseStepKind::kOpen);
}

TEST_CASE("a failing store is called less and less often, but within seconds") {
  LeaseSchedule schedule(seconds(30), 1);
  ManualClock clock;
  for (int i = 0; i < 10; ++i) {
    schedule.OnFailure(clock.Now());
    LeaseStep step = schedule.Next(clock.Now());
    CHECK(step.kind == LeaseStepKind::kPause);
    CHECK(step.until - clock.Now() <= seconds(4));
    clock.Advance(step.until - clock.Now());
    CHECK(schedule.Next(clock.Now()).kind == LeaseStepKind::kOpen);
  }
}

// Guards against limits that are exceeded: the store removes the keys of nodes that it refuses, but
// these are live and keep sending, so the other nodes must not use their fraction of the limits.
TEST_CASE("a node whose key was removed still counts for a while") {
  NodeCount nodes;
  ManualClock clock;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) nodes.Add(name);
  CHECK(nodes.Count(clock.Now()) == 6);
  nodes.Remove("a", clock.Now());
  nodes.RetainOnly({"c", "d", "e", "f"}, clock.Now());
  clock.Advance(seconds(10));
  CHECK(nodes.Count(clock.Now()) == 6);
  CHECK(nodes.Counted(clock.Now()).size() == 6);
  nodes.Add("a");
  clock.Advance(NodeCount::kRemovedNodeRetention);
  CHECK(nodes.Count(clock.Now()) == 5);
  CHECK(nodes.Counted(clock.Now()) == std::vector<NodeName>{"a", "c", "d", "e", "f"});
}

TEST_CASE("a single node assumes the smallest deployment, as others may not be listed yet") {
  NodeCount nodes;
  ManualClock clock;
  nodes.Add("a");
  CHECK(nodes.Count(clock.Now()) == NodeCount::kMinNodes);
}

}  // namespace
}  // namespace damaskroute
