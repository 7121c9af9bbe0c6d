#include <doctest/doctest.h>

#include "tests/support/platform_fixture.h"
#include "tests/support/relay_reader.h"

// A restarted node has no state from before the restart. In similar systems, restarted nodes used
// servers that had left and applied operator directives that had been withdrawn.

namespace damaskroute {
namespace {

using platform::StoreMode;
using std::chrono::milliseconds;

TEST_CASE("a server that left while the node was down is not used after the restart") {
  PlatformFixture fixture;
  auto& removed = fixture.AddServer("i-1", "desk", "a");
  auto& leaving = fixture.AddServer("i-2", "desk", "a");
  auto& closed = fixture.AddServer("i-3", "desk", "b");
  fixture.AddServer("i-4", "desk", "c");
  REQUIRE(fixture.StartServing(4));
  fixture.StopNode();
  fixture.store.Remove(platform::kServerPrefix + std::string("i-1"));
  fixture.store.Write(platform::kServerPrefix + std::string("i-2"),
                      leaving.Entry("desk", "a", "draining"));
  fixture.store.Write(platform::kEvacuatePrefix + std::string("b"), "{}");
  fixture.store.Write(platform::kConfigKey, PlatformFixture::Config(7));
  fixture.store.DropHistory();
  REQUIRE(fixture.StartServing(3));
  CHECK(fixture.RoutesVersion() == 7);
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.Get("/one/x", fmt::format("id-{}", i))[platform::kServerStampHeader] ==
          "stamp-i-4");
  }
  CHECK(removed.runs().empty());
  CHECK(leaving.runs().empty());
  CHECK(closed.runs().empty());
}

// Guards against a restarted node that serves requests based on data from other nodes or on
// outdated pages of the store.
TEST_CASE(
    "a node that restarts during a store outage refuses requests until it has read the whole "
    "store") {
  for (StoreMode mode :
       {StoreMode::kUnresponsive, StoreMode::kReset, StoreMode::kBusy, StoreMode::kPortClosed}) {
    CAPTURE(static_cast<int>(mode));
    PlatformFixture fixture;
    fixture.AddServer("i-1", "desk");
    auto readers = MakeReaders(fixture, [] { return Duration::zero(); });
    REQUIRE(fixture.StartServing(1));
    fixture.StopNode();
    fixture.store.SetMode(mode);
    fixture.StartNode();
    CHECK(fixture.ReadyStatus() == 503);
    auto refused = fixture.Get("/one/x");
    CHECK(refused.status == 503);
    CHECK(std::stod(refused["Retry-After"]) > 0);
    fixture.store.Remove(platform::kServerPrefix + std::string("i-1"));
    auto& fresh = fixture.AddServer("i-2", "desk");
    fixture.store.SetMode(StoreMode::kServe);
    REQUIRE(fixture.AwaitReady());
    REQUIRE(fixture.AwaitServers(1));
    CHECK(fixture.Get("/one/x").status == 200);
    CHECK(fresh.runs().size() == 1);
  }
}

// Such an entry comes from a delayed page of the store or from a reader that lags behind.
TEST_CASE("an outdated entry that arrives late does not reinstate a draining server") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  fixture.AddServer("i-2", "desk", "b");
  auto readers = MakeReaders(fixture, [] { return Duration::zero(); });
  std::string old_entry = server.Entry("desk", "a");
  std::string draining = old_entry;
  draining.replace(draining.find("\"sequence\":1"), 12, "\"sequence\":5");
  draining.replace(draining.find("\"ready\""), 7, "\"draining\"");
  fixture.store.Write(platform::kServerPrefix + std::string("i-1"), draining);
  REQUIRE(fixture.StartServing(2));
  // The readers relay an outdated heartbeat under a revision that the node has not seen.
  for (auto& reader : readers) {
    reader->Announce({platform::kServerPrefix + std::string("i-1"), old_entry, 1'000'000, false});
  }
  REQUIRE(PlatformFixture::Await(
      [&] { return fixture.store.calls() > 0 && fixture.RoutesVersion() == 1; }));
  for (int i = 0; i < 10; ++i) CHECK(fixture.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(server.runs().empty());
}

}  // namespace
}  // namespace damaskroute
