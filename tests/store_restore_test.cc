#include <doctest/doctest.h>

#include "tests/support/platform_fixture.h"
#include "tests/support/relay_reader.h"

// Guards against changes that nodes miss after the store was restored from an older copy, because
// its revisions are given out again.

namespace damaskroute {
namespace {

using platform::StoreMode;

const std::string kClosedZone = std::string(platform::kEvacuatePrefix) + "b";

std::set<ZoneName> ClosedZones(PlatformFixture& w) {
  return w.ReadForwardingState(
      [](const ForwardingState& s) { return s.backends().closed_zones(); });
}

// Writes `count` changes that no node cares about.
void WriteUnrelated(PlatformFixture& w, int count) {
  for (int i = 0; i < count; ++i) w.store.Write("other", std::to_string(i));
}

// Restores the store's copy while no node reaches the store. `write` runs before nodes reach it.
template <typename Write>
void RestoreUnseen(PlatformFixture& w, const Write& write) {
  w.store.SetMode(StoreMode::kReset);
  w.store.Restore();
  write();
  w.store.SetMode(StoreMode::kServe);
}

TEST_CASE("a node whose revision was passed again before it asks has the changes of the new era") {
  PlatformFixture w;
  w.AddServer("i-1", "desk");
  w.store.TakeCopy();
  WriteUnrelated(w, 10);
  REQUIRE(w.StartServing(1));
  RestoreUnseen(w, [&] {
    w.store.Write(platform::kConfigKey, PlatformFixture::Config(2));
    WriteUnrelated(w, 20);
  });
  CHECK(PlatformFixture::Await([&] { return w.RoutesVersion() == 2; }));
}

TEST_CASE("a node does not take revisions from a reader that has not noticed the restore") {
  PlatformFixture w;
  auto readers = MakeReaders(w, [] { return Duration::zero(); });
  w.AddServer("i-1", "desk");
  w.store.TakeCopy();
  for (auto& reader : readers) reader->Announce({"other", "", 1000, false});
  w.store.Restore();
  REQUIRE(w.StartServing(1));
  w.store.Write(platform::kConfigKey, PlatformFixture::Config(2));
  CHECK(PlatformFixture::Await([&] { return w.RoutesVersion() == 2; }));
}

// Guards against directives that are dropped as older than the last read of all directives, which
// a node makes when it is many changes behind.
TEST_CASE("a directive of the new era is not older than a read of the directives before it") {
  PlatformFixture w;
  w.AddServer("i-1", "desk");
  w.store.TakeCopy();
  w.store.SetPaging(500, std::chrono::milliseconds(0));
  REQUIRE(w.StartServing(1));
  w.store.SetMode(StoreMode::kReset);
  WriteUnrelated(w, 600);
  w.store.Write(platform::kConfigKey, PlatformFixture::Config(2));
  w.store.SetMode(StoreMode::kServe);
  REQUIRE(PlatformFixture::Await([&] { return w.RoutesVersion() == 2; }));
  RestoreUnseen(w, [&] { w.store.Write(platform::kConfigKey, PlatformFixture::Config(2)); });
  // The node has read the restored store as soon as it knows the server that was added to it.
  w.AddServer("i-2", "desk");
  REQUIRE(w.AwaitServers(2));
  w.store.Write(kClosedZone, "{}");
  CHECK(PlatformFixture::Await([&] { return ClosedZones(w) == std::set<ZoneName>{"b"}; }));
}

// Guards against limits that are divided by too few nodes, since the keys that the nodes wrote
// after the copy are gone, and the ids of their leases are given out again.
TEST_CASE("a node writes its key again after a restore") {
  PlatformFixture w;
  w.AddServer("i-1", "desk");
  w.store.TakeCopy();
  REQUIRE(w.StartServing(1));
  const std::string key = platform::kNodePrefix + std::string("node-1");
  REQUIRE(PlatformFixture::Await([&] { return w.store.Has(key); }));
  for (int i = 0; i < 2; ++i) {
    RestoreUnseen(w, [] {});
    CHECK(PlatformFixture::Await([&] { return w.store.Has(key); }));
  }
}

}  // namespace
}  // namespace damaskroute
