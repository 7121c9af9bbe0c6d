#include "damaskroute/forward/zone_reach.h"

#include <doctest/doctest.h>

#include <vector>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  ZoneReach reach;
  ManualClock clock;

  Fixture() { clock.Advance(std::chrono::seconds(10)); }

  // Attempts that begin together and end without a connection after `took`.
  void Silent(const std::vector<BackendName>& backends, milliseconds took = milliseconds(60)) {
    TimePoint begun = clock.Now();
    clock.Advance(took);
    for (const BackendName& backend : backends) {
      reach.OnNoConnection("b", backend, begun, clock.Now());
    }
  }

  bool Lost() const { return reach.IsLost("b", clock.Now()); }
};

// brekke-staffeli-grown: a node with a query each second would need several of them to find all
// servers of a zone that is cut off.
TEST_CASE("a zone is lost once three of its servers are silent, and no other zone with it") {
  Fixture f;
  f.Silent({"one", "two"});
  CHECK_FALSE(f.Lost());
  f.Silent({"three"});
  CHECK(f.Lost());
  CHECK_FALSE(f.reach.IsLost("a", f.clock.Now()));
  CHECK(f.reach.Lost(f.clock.Now()) == std::set<ZoneName>{"b"});
}

TEST_CASE("one server that is tried again and again is not a zone") {
  Fixture f;
  for (int i = 0; i < 5; ++i) f.Silent({"one"});
  CHECK_FALSE(f.Lost());
}

TEST_CASE("any sign of life shows that the zone is reached, so crashed servers do not hide it") {
  Fixture f;
  f.Silent({"one", "two", "three"});
  f.reach.OnHeard("b", f.clock.Now());
  CHECK_FALSE(f.Lost());
  SUBCASE("an attempt that began before it tells nothing") {
    TimePoint begun = f.clock.Now();
    f.clock.Advance(milliseconds(10));
    f.reach.OnHeard("b", f.clock.Now());
    f.clock.Advance(milliseconds(50));
    for (const char* backend : {"one", "two", "three"}) {
      f.reach.OnNoConnection("b", backend, begun, f.clock.Now());
    }
    CHECK_FALSE(f.Lost());
  }
}

// srv_crash: many processes of a zone end at once, and the others have not answered yet.
TEST_CASE("servers that refuse connections at once do not make their zone count as lost") {
  Fixture f;
  f.Silent({"one", "two", "three", "four"}, milliseconds(2));
  CHECK_FALSE(f.Lost());
}

// node_freeze: after the process stood still for seconds all its attempts end at once, and the zone
// is as well as before.
TEST_CASE("attempts that were held up by this process tell nothing of the zone") {
  Fixture f;
  f.Silent({"one", "two", "three", "four"}, milliseconds(4000));
  CHECK_FALSE(f.Lost());
}

// The probes of servers end when their entries lapse, so nothing would clear the mark.
TEST_CASE("a zone is not lost for longer than a second after the last attempt") {
  Fixture f;
  f.Silent({"one", "two", "three"});
  f.clock.Advance(ZoneReach::kRemembered - milliseconds(10));
  CHECK(f.Lost());
  f.Silent({"one"}, milliseconds(55));
  CHECK_FALSE(f.Lost());
}

TEST_CASE("attempts far apart do not add up") {
  Fixture f;
  for (const char* backend : {"one", "two", "three"}) {
    f.Silent({backend});
    f.clock.Advance(ZoneReach::kRemembered);
  }
  CHECK_FALSE(f.Lost());
}

}  // namespace
}  // namespace damaskroute
