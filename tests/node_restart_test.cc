#include <doctest/doctest.h>

#include "tests/support/platform_world.h"
#include "tests/support/relay_reader.h"

// A node that starts again knows nothing of before. Operators of similar systems saw servers that
// had left, and orders that had been taken back, in use again after a restart.

namespace damaskroute {
namespace {

using platform::StoreMode;
using std::chrono::milliseconds;

TEST_CASE("a server that left while the node was down is not used after the restart") {
  PlatformWorld w;
  auto& left = w.AddServer("i-1", "desk", "a");
  auto& leaving = w.AddServer("i-2", "desk", "a");
  auto& closed = w.AddServer("i-3", "desk", "b");
  w.AddServer("i-4", "desk", "c");
  REQUIRE(w.StartServing(4));
  w.StopNode();
  w.store.Remove(platform::kServerPrefix + std::string("i-1"));
  w.store.Write(platform::kServerPrefix + std::string("i-2"),
                leaving.Entry("desk", "a", "draining"));
  w.store.Write(platform::kEvacuatePrefix + std::string("b"), "{}");
  w.store.Write(platform::kConfigKey, PlatformWorld::Config(7));
  w.store.DropHistory();
  REQUIRE(w.StartServing(3));
  CHECK(w.RoutesVersion() == 7);
  for (int i = 0; i < 20; ++i) {
    CHECK(w.Get("/one/x", fmt::format("id-{}", i))[platform::kServerStampHeader] == "stamp-i-4");
  }
  CHECK(left.runs().empty());
  CHECK(leaving.runs().empty());
  CHECK(closed.runs().empty());
}

// Guards against a restarted node that serves by what other nodes or old pages say.
TEST_CASE("a node that restarts without the store refuses until it has read all of it") {
  for (StoreMode mode :
       {StoreMode::kSilent, StoreMode::kReset, StoreMode::kBusy, StoreMode::kGone}) {
    CAPTURE(static_cast<int>(mode));
    PlatformWorld w;
    w.AddServer("i-1", "desk");
    auto readers = MakeReaders(w, [] { return Duration::zero(); });
    REQUIRE(w.StartServing(1));
    w.StopNode();
    w.store.SetMode(mode);
    w.StartNode();
    CHECK(w.Ready() == 503);
    auto refused = w.Get("/one/x");
    CHECK(refused.status == 503);
    CHECK(std::stod(refused["Retry-After"]) > 0);
    w.store.Remove(platform::kServerPrefix + std::string("i-1"));
    auto& fresh = w.AddServer("i-2", "desk");
    w.store.SetMode(StoreMode::kServe);
    REQUIRE(w.AwaitReady());
    REQUIRE(w.AwaitServers(1));
    CHECK(w.Get("/one/x").status == 200);
    CHECK(fresh.runs().size() == 1);
  }
}

// A page that was on its way while the node was down, or a reader that is behind.
TEST_CASE("an older entry that comes late does not bring a server back") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  w.AddServer("i-2", "desk", "b");
  auto readers = MakeReaders(w, [] { return Duration::zero(); });
  std::string old_entry = server.Entry("desk", "a");
  std::string draining = old_entry;
  draining.replace(draining.find("\"sequence\":1"), 12, "\"sequence\":5");
  draining.replace(draining.find("\"ready\""), 7, "\"draining\"");
  w.store.Write(platform::kServerPrefix + std::string("i-1"), draining);
  REQUIRE(w.StartServing(2));
  // A reader passes on an old beat with a revision that is new to the node.
  for (auto& reader : readers) {
    reader->Announce({platform::kServerPrefix + std::string("i-1"), old_entry, 1'000'000, false});
  }
  REQUIRE(PlatformWorld::Await([&] { return w.store.calls() > 0 && w.RoutesVersion() == 1; }));
  for (int i = 0; i < 10; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(server.runs().empty());
}

}  // namespace
}  // namespace damaskroute
