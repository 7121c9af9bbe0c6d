#include "damaskroute/forward/isolation.h"

#include <doctest/doctest.h>

#include <chrono>

#include "damaskroute/core/time.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against callers in an isolated zone that get only refusals for the whole partition,
// because the store's watch detects dropped packets seconds later.
TEST_CASE("a node without shards is isolated as soon as a probe of the store fails") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  CHECK_FALSE(isolation.is_isolated());
  CHECK(isolation.OnShardsReachable(false, clock.Now()));
  CHECK_FALSE(isolation.is_isolated());
  isolation.OnStoreProbed(false);
  CHECK(isolation.is_isolated());
}

// Guards against all nodes leaving service together when the servers of the shards are down.
TEST_CASE("a node that reaches the store stays in service without shards") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  REQUIRE(isolation.OnShardsReachable(false, clock.Now()));
  isolation.OnStoreProbed(true);
  CHECK_FALSE(isolation.is_isolated());
  SUBCASE("unless the store's calls lose it later") {
    isolation.OnStoreReachable(false);
    CHECK(isolation.is_isolated());
  }
  SUBCASE("unless a later probe fails") {
    CHECK_FALSE(isolation.OnShardsReachable(false, clock.Now()));
    clock.Advance(milliseconds(500));
    REQUIRE(isolation.OnShardsReachable(false, clock.Now()));
    isolation.OnStoreProbed(false);
    CHECK(isolation.is_isolated());
  }
}

// Guards against an outage of the store that takes nodes out of service.
TEST_CASE("a node that reaches its shards stays in service without the store") {
  ManualClock clock;
  Isolation isolation;
  isolation.OnStoreReachable(false);
  CHECK_FALSE(isolation.OnShardsReachable(true, clock.Now()));
  CHECK_FALSE(isolation.is_isolated());
}

TEST_CASE("a node returns to service with its shards or with the store") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  REQUIRE(isolation.OnShardsReachable(false, clock.Now()));
  isolation.OnStoreProbed(false);
  REQUIRE(isolation.is_isolated());
  SUBCASE("shards") { isolation.OnShardsReachable(true, clock.Now()); }
  SUBCASE("store") { isolation.OnStoreReachable(true); }
  CHECK_FALSE(isolation.is_isolated());
}

TEST_CASE("one probe runs at a time") {
  ManualClock clock;
  clock.Advance(seconds(1));
  Isolation isolation;
  REQUIRE(isolation.OnShardsReachable(false, clock.Now()));
  clock.Advance(seconds(5));
  CHECK_FALSE(isolation.OnShardsReachable(false, clock.Now()));
  isolation.OnStoreProbed(true);
  CHECK(isolation.OnShardsReachable(false, clock.Now()));
}

}  // namespace
}  // namespace damaskroute
