#include <doctest/doctest.h>

#include "damaskroute/core/random.h"
#include "damaskroute/forward/forward_spec.h"
#include "damaskroute/forward/time_on_the_way.h"
#include "damaskroute/forward/timer_delay.h"

// When an answer has to leave so that its caller has it in time. Load pattern: mai-tee-prom,
// callers 3 ms away and objectives of 50 and 100 ms: partial answers left 5 ms before the
// objective, a constant read off deployments with callers 1 ms away, and nearly all arrived too
// late.

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kObjective{100};

// When the caller has an answer that leaves when it is due, after the caller asked.
Duration ArrivalOf(microseconds one_way, bool opens_connection) {
  ManualClock clock;
  Route route;
  route.objective = kObjective;
  route.shards = {"s0", "s1"};
  QueryPlan plan;
  plan.least_parts = 1;
  TimePoint asked = clock.Now();
  clock.Advance(one_way * (opens_connection ? 3 : 1));
  Duration outside = TimeOnTheWay({one_way * 2, opens_connection}, route.objective);
  ForwardSpec spec =
      MakeQuerySpec(route, plan, {clock.Now(), clock.Now() + milliseconds(1000), outside});
  return spec.answer_by + one_way - asked;
}

TEST_CASE("an answer that leaves when it is due is in time, however far away its caller is") {
  for (microseconds one_way : {microseconds(200), microseconds(3200), microseconds(20000)}) {
    CAPTURE(one_way.count());
    CHECK(ArrivalOf(one_way, false) <= kObjective);
    CHECK(ArrivalOf(one_way, false) >= kObjective - milliseconds(1));
  }
}

TEST_CASE("a caller that opened a connection for its request has waited for a round trip more") {
  for (microseconds one_way : {microseconds(200), microseconds(3200), microseconds(10000)}) {
    CAPTURE(one_way.count());
    CHECK(ArrivalOf(one_way, true) <= kObjective);
    CHECK(ArrivalOf(one_way, true) >= kObjective - milliseconds(1));
  }
}

TEST_CASE("an unknown round trip is taken for a short one, a wrong one for half of the objective") {
  CHECK(TimeOnTheWay({}, milliseconds(100)) == milliseconds(2));
  CHECK(TimeOnTheWay({std::chrono::seconds(3), true}, milliseconds(100)) == milliseconds(50));
}

Duration AllowanceAfter(Duration usual_delay, int timers) {
  TimerDelay delay;
  ManualClock clock;
  Random random(1);
  for (int i = 0; i < timers; ++i) {
    Duration late = std::chrono::duration_cast<Duration>(usual_delay * (0.5 + random.Unit()));
    delay.OnFired(clock.Now(), clock.Now() + late);
    clock.Advance(milliseconds(10));
  }
  return delay.allowance();
}

// Guards against answers that miss the objective on a node that is slowed, for example by its
// quota.
TEST_CASE("a node whose timers are late allows for more, and one that is quick for less") {
  CHECK(TimerDelay().allowance() == milliseconds(3));
  CHECK(AllowanceAfter(microseconds(100), 100) == milliseconds(2));
  Duration slow = AllowanceAfter(milliseconds(5), 100);
  CHECK(slow > milliseconds(7));
  CHECK(slow < milliseconds(20));
}

TEST_CASE("a node that was frozen does not give up its objectives afterwards") {
  TimerDelay delay;
  ManualClock clock;
  delay.OnFired(clock.Now(), clock.Now() + std::chrono::seconds(5));
  CHECK(delay.allowance() <= milliseconds(25));
  for (int i = 0; i < 40; ++i) delay.OnFired(clock.Now(), clock.Now() + microseconds(200));
  CHECK(delay.allowance() <= milliseconds(3));
}

}  // namespace
}  // namespace damaskroute
