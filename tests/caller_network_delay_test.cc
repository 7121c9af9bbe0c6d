#include "damaskroute/forward/caller_network_delay.h"

#include <doctest/doctest.h>

#include "damaskroute/core/random.h"
#include "damaskroute/forward/forward_spec.h"
#include "damaskroute/forward/timer_delay.h"

// An answer has to be sent early enough to reach its caller within the objective. Guards against a
// constant allowance for the network: 5 ms sufficed for callers 1 ms away, but with callers 3 ms
// away and objectives of 50 and 100 ms nearly all partial answers arrived too late.

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kObjective{100};

// Time from the caller's request to the arrival of an answer that is sent when it is due.
Duration ArrivalOf(microseconds one_way, bool opens_connection) {
  ManualClock clock;
  Route route;
  route.objective = kObjective;
  route.shards = {"s0", "s1"};
  QueryPlan plan;
  plan.min_required_parts = 1;
  TimePoint requested = clock.Now();
  clock.Advance(one_way * (opens_connection ? 3 : 1));
  Duration reserved_time = CallerNetworkDelay({one_way * 2, opens_connection}, route.objective);
  ForwardSpec spec =
      MakeQuerySpec(route, plan, {clock.Now(), clock.Now() + milliseconds(1000), reserved_time});
  return spec.answer_by + one_way - requested;
}

TEST_CASE("an answer that is sent when it is due arrives in time, whatever the network delay") {
  for (microseconds one_way : {microseconds(200), microseconds(3200), microseconds(20000)}) {
    CAPTURE(one_way.count());
    CHECK(ArrivalOf(one_way, false) <= kObjective);
    CHECK(ArrivalOf(one_way, false) >= kObjective - milliseconds(1));
  }
}

TEST_CASE("a caller that opened a connection for its request has waited one more round trip") {
  for (microseconds one_way : {microseconds(200), microseconds(3200), microseconds(10000)}) {
    CAPTURE(one_way.count());
    CHECK(ArrivalOf(one_way, true) <= kObjective);
    CHECK(ArrivalOf(one_way, true) >= kObjective - milliseconds(1));
  }
}

TEST_CASE(
    "an unknown round-trip time has a short default, a long one is capped at half of the "
    "objective") {
  CHECK(CallerNetworkDelay({}, milliseconds(100)) == milliseconds(2));
  CHECK(CallerNetworkDelay({std::chrono::seconds(3), true}, milliseconds(100)) == milliseconds(50));
}

Duration AllowanceAfter(Duration mean_delay, int timers) {
  TimerDelay delay;
  ManualClock clock;
  Random random(1);
  for (int i = 0; i < timers; ++i) {
    Duration late = std::chrono::duration_cast<Duration>(mean_delay * (0.5 + random.NextDouble()));
    delay.OnFired(clock.Now(), clock.Now() + late);
    clock.Advance(milliseconds(10));
  }
  return delay.allowance();
}

// Guards against answers that miss the objective on a node that is throttled, for example by its
// CPU quota.
TEST_CASE("the allowance grows with the delay of the timers") {
  CHECK(TimerDelay().allowance() == milliseconds(3));
  CHECK(AllowanceAfter(microseconds(100), 100) == milliseconds(2));
  Duration slow = AllowanceAfter(milliseconds(5), 100);
  CHECK(slow > milliseconds(7));
  CHECK(slow < milliseconds(20));
}

TEST_CASE("a node that was frozen recovers a short allowance") {
  TimerDelay delay;
  ManualClock clock;
  delay.OnFired(clock.Now(), clock.Now() + std::chrono::seconds(5));
  CHECK(delay.allowance() <= milliseconds(25));
  for (int i = 0; i < 40; ++i) delay.OnFired(clock.Now(), clock.Now() + microseconds(200));
  CHECK(delay.allowance() <= milliseconds(3));
}

}  // namespace
}  // namespace damaskroute
