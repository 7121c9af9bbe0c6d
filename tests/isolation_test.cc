#include "damaskroute/forward/isolation.h"

#include <doctest/doctest.h>

#include <chrono>

#include "damaskroute/core/time.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against callers of a zone that is cut off and get only refusals for as long as the cut
// lasts, because the store's watch notices a silent cut seconds later.
TEST_CASE("a node without shards is cut off as soon as a probe of the store fails") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  CHECK_FALSE(isolation.is_cut_off());
  CHECK(isolation.OnShards(false, clock.Now()));
  CHECK_FALSE(isolation.is_cut_off());
  isolation.OnProbe(false);
  CHECK(isolation.is_cut_off());
}

// Guards against all nodes that go out of service together when the shards' servers are down.
TEST_CASE("a node that reaches the store stays in service without shards") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  REQUIRE(isolation.OnShards(false, clock.Now()));
  isolation.OnProbe(true);
  CHECK_FALSE(isolation.is_cut_off());
  SUBCASE("unless the store's calls lose it later") {
    isolation.OnStore(false);
    CHECK(isolation.is_cut_off());
  }
  SUBCASE("unless a later probe fails") {
    CHECK_FALSE(isolation.OnShards(false, clock.Now()));
    clock.Advance(milliseconds(500));
    REQUIRE(isolation.OnShards(false, clock.Now()));
    isolation.OnProbe(false);
    CHECK(isolation.is_cut_off());
  }
}

// Guards against an outage of the store that takes nodes out of service.
TEST_CASE("a node that reaches its shards stays in service without the store") {
  ManualClock clock;
  Isolation isolation;
  isolation.OnStore(false);
  CHECK_FALSE(isolation.OnShards(true, clock.Now()));
  CHECK_FALSE(isolation.is_cut_off());
}

TEST_CASE("a node is back in service with its shards or with the store") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  REQUIRE(isolation.OnShards(false, clock.Now()));
  isolation.OnProbe(false);
  REQUIRE(isolation.is_cut_off());
  SUBCASE("shards") { isolation.OnShards(true, clock.Now()); }
  SUBCASE("store") { isolation.OnStore(true); }
  CHECK_FALSE(isolation.is_cut_off());
}

TEST_CASE("one probe runs at a time") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  REQUIRE(isolation.OnShards(false, clock.Now()));
  clock.Advance(seconds(5));
  CHECK_FALSE(isolation.OnShards(false, clock.Now()));
  isolation.OnProbe(true);
  CHECK(isolation.OnShards(false, clock.Now()));
}

}  // namespace
}  // namespace damaskroute
