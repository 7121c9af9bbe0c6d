#include <doctest/doctest.h>
#include <rapidjson/document.h>

#include <memory>

#include "tests/support/platform_world.h"
#include "tests/support/relay_reader.h"

// A node on the stand-ins of the users' platform: what it learns from the store and from other
// nodes, its readiness, and its end.

namespace damaskroute {
namespace {

using platform::ServerMode;
using platform::StoreMode;
using std::chrono::milliseconds;

TEST_CASE("a draining server gets nothing more") {
  PlatformWorld w;
  auto& leaving = w.AddServer("i-1", "desk", "a");
  auto& staying = w.AddServer("i-2", "desk", "b");
  REQUIRE(w.StartServing(2));
  std::string entry = leaving.Entry("desk", "a", "draining");
  entry.replace(entry.find("\"sequence\":1"), 12, "\"sequence\":2");
  w.store.Write(platform::kServerPrefix + std::string("i-1"), entry);
  w.AddServer("i-3", "other");
  REQUIRE(w.AwaitServers(3));
  std::size_t before = leaving.runs().size();
  for (int i = 0; i < 10; ++i) CHECK(w.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(leaving.runs().size() == before);
  CHECK(staying.runs().size() == 10);
}

TEST_CASE("a closed zone gets nothing until it is opened") {
  PlatformWorld w;
  auto& own = w.AddServer("i-1", "desk", "a");
  w.AddServer("i-2", "desk", "b");
  REQUIRE(w.StartServing(2));
  std::string key = platform::kEvacuatePrefix + std::string("a");
  w.store.Write(key, "{}");
  REQUIRE(PlatformWorld::Await([&] {
    std::size_t before = own.runs().size();
    return w.Get("/one/x")[platform::kServerStampHeader] == "stamp-i-2" &&
           own.runs().size() == before;
  }));
  w.store.Remove(key);
  CHECK(PlatformWorld::Await(
      [&] { return w.Get("/one/x")[platform::kServerStampHeader] == "stamp-i-1"; }));
}

TEST_CASE("entries that cannot be read name no server, and the others hold") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  w.store.Write(platform::kServerPrefix + std::string("i-2"), "\xff{");
  w.store.Write(platform::kServerPrefix + std::string("i-3"), R"({"service":7})");
  REQUIRE(w.StartServing(1));
  CHECK(w.Get("/one/x").status == 200);
}

TEST_CASE("a node serves on while the store is away, and keeps entries that lapse meanwhile") {
  for (StoreMode mode : {StoreMode::kReset, StoreMode::kBusy}) {
    PlatformWorld w;
    w.AddServer("i-1", "desk");
    REQUIRE(w.StartServing(1));
    w.store.SetMode(mode);
    std::uint64_t calls = w.store.calls();
    REQUIRE(PlatformWorld::Await([&] { return w.store.calls() > calls + 2; }));
    w.store.Lapse(platform::kServerPrefix);
    w.store.DropHistory();
    CHECK(w.Get("/one/x").status == 200);
    w.store.SetMode(StoreMode::kServe);
    calls = w.store.calls();
    REQUIRE(PlatformWorld::Await([&] { return w.store.calls() > calls + 1; }));
    CHECK(w.Get("/one/x").status == 200);
    // It does not come back: after the grace it is gone.
    CHECK(w.AwaitServers(0));
  }
}

TEST_CASE("changes are seen although the store forgets its history") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  w.store.SetMode(StoreMode::kBusy);
  w.store.Remove(platform::kServerPrefix + std::string("i-1"));
  w.AddServer("i-2", "desk");
  w.store.DropHistory();
  w.store.SetMode(StoreMode::kServe);
  CHECK(PlatformWorld::Await(
      [&] { return w.Get("/one/x")[platform::kServerStampHeader] == "stamp-i-2"; }));
}

TEST_CASE("the node keeps a key of its own in the store") {
  PlatformWorld w;
  w.StartNode();
  CHECK(PlatformWorld::Await(
      [&] { return w.store.Has(platform::kNodePrefix + std::string("node-1")); }));
}

TEST_CASE("a node that is told to end is not ready at once and answers what runs") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  HttpTestClient kept(w.settings.callers);
  kept.SendRaw(PlatformWorld::Render("GET", "/one/x", "id-0"));
  CHECK(kept.Receive().status == 200);
  server.SetMode(ServerMode::kSilent);
  HttpTestClient running(w.settings.callers);
  running.SendRaw(PlatformWorld::Render("POST", "/act/x", "id-1", "book", 60'000));
  REQUIRE(PlatformWorld::Await([&] { return server.runs().size() == 2; }));
  w.TermNode();
  REQUIRE(PlatformWorld::Await([&] { return w.Ready() != 200; }));
  // A kept connection is served and then closed.
  server.SetMode(ServerMode::kAnswer);
  kept.SendRaw(PlatformWorld::Render("GET", "/one/x", "id-2"));
  auto last = kept.Receive();
  CHECK(last.status == 200);
  CHECK(last["Connection"] == "close");
  // The silent server's request is ended by the node before it goes.
  CHECK(running.Receive().status == 502);
  CHECK(w.ended.get_future().wait_for(PlatformWorld::kPatience) == std::future_status::ready);
}

TEST_CASE("operators see why a server is used or not") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  w.AddServer("i-2", "desk", "b");
  w.store.Write(platform::kEvacuatePrefix + std::string("b"), "{}");
  REQUIRE(w.StartServing(2));
  REQUIRE(w.Get("/one/x").status == 200);
  auto response = HttpTestClient(*w.settings.metrics).Call("GET", "/v1/beliefs");
  rapidjson::Document document;
  document.Parse(response.body.c_str(), response.body.size());
  REQUIRE(document.IsObject());
  CHECK(std::string(document["ready"].GetString()) == "yes");
  CHECK(std::string(document["followed"].GetString()) == "the store");
  REQUIRE(document["backends"].Size() == 2);
  CHECK(std::string(document["backends"][0]["use"].GetString()) == "yes");
  CHECK(std::string(document["backends"][1]["use"].GetString()) == "no: its zone is closed");
  CHECK(document["routes"].Size() == 3);
  CHECK(document["routes"][2]["reached"].GetInt() == 0);
}

// Guards against callers of a zone that is cut off and are refused for as long as the cut lasts,
// while nodes of other zones could serve them.
TEST_CASE("a node that reaches neither its shards nor the store sends its callers away") {
  PlatformWorld w;
  for (int i = 0; i < 3; ++i) w.AddServer(fmt::format("i-{}", i), fmt::format("s{}", i));
  REQUIRE(w.StartServing(3));
  REQUIRE(w.Ready() == 200);
  for (int i = 0; i < 3; ++i) w.servers.erase(fmt::format("i-{}", i));
  CHECK(w.Get("/all/x").status != 200);
  CHECK(w.Ready() == 200);  // The store is there, so the servers are gone for all nodes alike.
  w.store.SetMode(StoreMode::kGone);
  CHECK(PlatformWorld::Await([&] {
    (void)w.Get("/all/x");
    return w.Ready() == 503;
  }));
  CHECK(w.Get("/all/x")["Connection"] == "close");
  w.store.SetMode(StoreMode::kServe);
  CHECK(PlatformWorld::Await([&] { return w.Ready() == 200; }));
}

std::uint64_t StoreRevision(PlatformWorld& world) {
  auto response = HttpTestClient(world.store.endpoint()).Call("GET", "/kv-range?prefix=");
  rapidjson::Document document;
  document.Parse(response.body.c_str(), response.body.size());
  REQUIRE(document.IsObject());
  return document["asOf"].GetUint64();
}

// Guards against calls to the store that grow with the number of nodes, and against a node that is
// left behind when the nodes that it follows are gone.
TEST_CASE("a node of a large zone follows the readers of its zone, and the store without them") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  auto readers = MakeReaders(w, [] { return Duration::zero(); });
  REQUIRE(w.StartServing(1));
  REQUIRE(PlatformWorld::Await(
      [&] { return w.store.Has(platform::kNodePrefix + NodeName("node-1")); }));
  // With a store that no longer answers, the node can only know this from a reader.
  std::uint64_t revision = StoreRevision(w);
  w.store.SetMode(StoreMode::kSilent);
  std::string config = PlatformWorld::Config(4, 0.6, "new");
  w.store.Write(platform::kConfigKey, config);
  for (auto& reader : readers) {
    reader->Announce({platform::kConfigKey, config, revision + 1, false});
  }
  CHECK(PlatformWorld::Await([&] { return w.Get("/new/x").status == 200; }));
  w.store.SetMode(StoreMode::kServe);
  readers.clear();
  w.store.Write(platform::kConfigKey, PlatformWorld::Config(5, 0.6, "newer"));
  CHECK(PlatformWorld::Await([&] { return w.Get("/newer/x").status == 200; }));
}

TEST_CASE("metrics are served on their own address") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  CHECK(w.Get("/one/x").status == 200);
  auto page = PlatformWorld::Client(*w.settings.metrics).Call("GET", "/metrics");
  CHECK(page.status == 200);
  CHECK(page.body.find("damaskroute_forward_answers_total{outcome=\"passed_on\"} 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace damaskroute
