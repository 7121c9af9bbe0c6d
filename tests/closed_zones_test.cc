#include "damaskroute/routing/closed_zones.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using Zones = std::set<ZoneName>;

struct Fixture {
  ClosedZones zones;
  ManualClock clock;

  Zones Closed() const { return zones.Closed(clock.Now()); }
  void Close(std::uint64_t revision) { zones.OnClosed("b", revision, clock.Now()); }
  // The node reads the copy from which the store was restored. `revision`: of the directive in the
  // copy; 0 if there is none.
  void ReadCopy(std::uint64_t revision) {
    zones.OnStoreRestored();
    if (revision > 0) Close(revision);
    zones.OnAllRead(revision > 0 ? Zones{"b"} : Zones{}, clock.Now());
  }
};

TEST_CASE("a zone is closed and opened by directives and by complete reads") {
  Fixture f;
  f.Close(7);
  CHECK(f.Closed() == Zones{"b"});
  f.zones.OnOpened("b");
  CHECK(f.Closed().empty());
  f.Close(9);
  f.zones.OnAllRead({"b"}, f.clock.Now());
  CHECK(f.Closed() == Zones{"b"});
  f.zones.OnAllRead({}, f.clock.Now());
  CHECK(f.Closed().empty());
  CHECK(f.zones.next_change(f.clock.Now()) == TimePoint::max());
}

// Guards against requests to an evacuated zone.
TEST_CASE("a zone stays closed while the directive is missing in a restored store") {
  Fixture f;
  f.Close(7);
  f.ReadCopy(0);
  CHECK(f.Closed() == Zones{"b"});
  SUBCASE("written again") {
    f.Close(5);
    f.clock.Advance(kDirectiveGrace * 2);
    CHECK(f.Closed() == Zones{"b"});
  }
  SUBCASE("withdrawn in the restored store") {
    f.zones.OnOpened("b");
    CHECK(f.Closed().empty());
  }
  SUBCASE("not written again") {
    f.clock.Advance(kDirectiveGrace / 2);
    f.zones.OnAllRead({}, f.clock.Now());  // Another read does not change the time.
    CHECK(f.Closed() == Zones{"b"});
    CHECK(f.zones.next_change(f.clock.Now()) == f.clock.Now() + kDirectiveGrace / 2);
    f.clock.Advance(kDirectiveGrace / 2);
    CHECK(f.Closed().empty());
  }
  SUBCASE("restored once more from a copy with the directive") {
    f.ReadCopy(7);
    f.clock.Advance(kDirectiveGrace * 2);
    CHECK(f.Closed() == Zones{"b"});
  }
}

// Guards against a zone that is closed again by a directive that the operator had withdrawn.
TEST_CASE("a withdrawn directive is not in force again while the operator may withdraw it again") {
  Fixture f;
  f.Close(7);
  f.zones.OnOpened("b");
  f.ReadCopy(7);
  CHECK(f.Closed().empty());
  SUBCASE("withdrawn again") {
    f.zones.OnOpened("b");
    f.clock.Advance(kDirectiveGrace * 2);
    CHECK(f.Closed().empty());
  }
  SUBCASE("still there after the time") {
    f.clock.Advance(kDirectiveGrace);
    CHECK(f.Closed() == Zones{"b"});
  }
  SUBCASE("closed anew") {
    f.Close(8);
    CHECK(f.Closed() == Zones{"b"});
  }
}

TEST_CASE("a directive that the node has not seen before is in force at once") {
  Fixture f;
  SUBCASE("first one") { f.ReadCopy(7); }
  SUBCASE("after a withdrawn one") {
    f.Close(7);
    f.zones.OnOpened("b");
    f.ReadCopy(12);
  }
  CHECK(f.Closed() == Zones{"b"});
}

}  // namespace
}  // namespace damaskroute
