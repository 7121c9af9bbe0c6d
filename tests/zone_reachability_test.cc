#include "damaskroute/forward/zone_reachability.h"

#include <doctest/doctest.h>

#include <vector>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  ZoneReachability reachability;
  ManualClock clock;

  Fixture() { clock.Advance(std::chrono::seconds(10)); }

  // Records attempts that begin together and end without a connection after `duration`.
  void Fail(const std::vector<BackendName>& backends, milliseconds duration = milliseconds(60)) {
    TimePoint begun = clock.Now();
    clock.Advance(duration);
    for (const BackendName& backend : backends) {
      reachability.OnNoConnection("b", backend, begun, clock.Now());
    }
  }

  bool Unreachable() const { return reachability.IsZoneUnreachable("b", clock.Now()); }
};

// Guards against a node with few queries that detects the servers of an isolated zone one by one.
TEST_CASE(
    "a zone is unreachable once three of its servers are unresponsive; other zones are not "
    "affected") {
  Fixture f;
  f.Fail({"one", "two"});
  CHECK_FALSE(f.Unreachable());
  f.Fail({"three"});
  CHECK(f.Unreachable());
  CHECK_FALSE(f.reachability.IsZoneUnreachable("a", f.clock.Now()));
  CHECK(f.reachability.UnreachableZones(f.clock.Now()) == std::set<ZoneName>{"b"});
}

TEST_CASE("repeated attempts to connect to one server do not make its zone unreachable") {
  Fixture f;
  for (int i = 0; i < 5; ++i) f.Fail({"one"});
  CHECK_FALSE(f.Unreachable());
}

TEST_CASE(
    "any response shows that the zone is reachable, although some of its servers have crashed") {
  Fixture f;
  f.Fail({"one", "two", "three"});
  f.reachability.OnContact("b", f.clock.Now());
  CHECK_FALSE(f.Unreachable());
  SUBCASE("an attempt that began before the response is ignored") {
    TimePoint begun = f.clock.Now();
    f.clock.Advance(milliseconds(10));
    f.reachability.OnContact("b", f.clock.Now());
    f.clock.Advance(milliseconds(50));
    for (const char* backend : {"one", "two", "three"}) {
      f.reachability.OnNoConnection("b", backend, begun, f.clock.Now());
    }
    CHECK_FALSE(f.Unreachable());
  }
}

// Many processes of a zone crash at once, and the others have not responded yet.
TEST_CASE("servers that refuse connections at once do not make their zone unreachable") {
  Fixture f;
  f.Fail({"one", "two", "three", "four"}, milliseconds(2));
  CHECK_FALSE(f.Unreachable());
}

// After the process was frozen for seconds all its attempts end at once, although the zone is
// reachable.
TEST_CASE("attempts that were delayed by this process are ignored") {
  Fixture f;
  f.Fail({"one", "two", "three", "four"}, milliseconds(4000));
  CHECK_FALSE(f.Unreachable());
}

// The probes of servers end when their entries expire, so no later response would reset the state.
TEST_CASE("a zone is not unreachable for longer than a second after the last attempt") {
  Fixture f;
  f.Fail({"one", "two", "three"});
  f.clock.Advance(ZoneReachability::kUnreachableTtl - milliseconds(10));
  CHECK(f.Unreachable());
  f.Fail({"one"}, milliseconds(55));
  CHECK_FALSE(f.Unreachable());
}

TEST_CASE("attempts far apart do not accumulate") {
  Fixture f;
  for (const char* backend : {"one", "two", "three"}) {
    f.Fail({backend});
    f.clock.Advance(ZoneReachability::kUnreachableTtl);
  }
  CHECK_FALSE(f.Unreachable());
}

}  // namespace
}  // namespace damaskroute
