#include <doctest/doctest.h>
#include <rapidjson/document.h>

#include <memory>

#include "tests/support/platform_fixture.h"
#include "tests/support/relay_reader.h"

// A node with stand-ins for the users' platform: updates from the store and from other nodes,
// readiness, and shutdown.

namespace damaskroute {
namespace {

using platform::ServerMode;
using platform::StoreMode;
using std::chrono::milliseconds;

TEST_CASE("a draining server receives no further requests") {
  PlatformFixture fixture;
  auto& leaving = fixture.AddServer("i-1", "desk", "a");
  auto& staying = fixture.AddServer("i-2", "desk", "b");
  REQUIRE(fixture.StartServing(2));
  std::string entry = leaving.Entry("desk", "a", "draining");
  entry.replace(entry.find("\"sequence\":1"), 12, "\"sequence\":2");
  fixture.store.Write(platform::kServerPrefix + std::string("i-1"), entry);
  fixture.AddServer("i-3", "other");
  REQUIRE(fixture.AwaitServers(3));
  std::size_t before = leaving.runs().size();
  for (int i = 0; i < 10; ++i) CHECK(fixture.Get("/one/x", fmt::format("id-{}", i)).status == 200);
  CHECK(leaving.runs().size() == before);
  CHECK(staying.runs().size() == 10);
}

TEST_CASE("servers of a closed zone receive no requests until the zone is reopened") {
  PlatformFixture fixture;
  auto& local = fixture.AddServer("i-1", "desk", "a");
  fixture.AddServer("i-2", "desk", "b");
  REQUIRE(fixture.StartServing(2));
  std::string key = platform::kEvacuatePrefix + std::string("a");
  fixture.store.Write(key, "{}");
  REQUIRE(PlatformFixture::Await([&] {
    std::size_t before = local.runs().size();
    return fixture.Get("/one/x")[platform::kServerStampHeader] == "stamp-i-2" &&
           local.runs().size() == before;
  }));
  fixture.store.Remove(key);
  CHECK(PlatformFixture::Await(
      [&] { return fixture.Get("/one/x")[platform::kServerStampHeader] == "stamp-i-1"; }));
}

TEST_CASE("invalid server entries are ignored, and valid ones stay in use") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  fixture.store.Write(platform::kServerPrefix + std::string("i-2"), "\xff{");
  fixture.store.Write(platform::kServerPrefix + std::string("i-3"), R"({"service":7})");
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Get("/one/x").status == 200);
}

TEST_CASE("a node keeps serving during a store outage and keeps entries that expire meanwhile") {
  for (StoreMode mode : {StoreMode::kReset, StoreMode::kBusy}) {
    PlatformFixture fixture;
    fixture.AddServer("i-1", "desk");
    REQUIRE(fixture.StartServing(1));
    fixture.store.SetMode(mode);
    std::uint64_t calls = fixture.store.calls();
    REQUIRE(PlatformFixture::Await([&] { return fixture.store.calls() > calls + 2; }));
    fixture.store.ExpireKeys(platform::kServerPrefix);
    fixture.store.DropHistory();
    CHECK(fixture.Get("/one/x").status == 200);
    fixture.store.SetMode(StoreMode::kServe);
    calls = fixture.store.calls();
    REQUIRE(PlatformFixture::Await([&] { return fixture.store.calls() > calls + 1; }));
    CHECK(fixture.Get("/one/x").status == 200);
    // The entry is not written again, so the server is removed after the grace period.
    CHECK(fixture.AwaitServers(0));
  }
}

TEST_CASE("changes are detected although the store discards its history") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  fixture.store.SetMode(StoreMode::kBusy);
  fixture.store.Remove(platform::kServerPrefix + std::string("i-1"));
  fixture.AddServer("i-2", "desk");
  fixture.store.DropHistory();
  fixture.store.SetMode(StoreMode::kServe);
  CHECK(PlatformFixture::Await(
      [&] { return fixture.Get("/one/x")[platform::kServerStampHeader] == "stamp-i-2"; }));
}

TEST_CASE("the node registers itself in the store") {
  PlatformFixture fixture;
  fixture.StartNode();
  CHECK(PlatformFixture::Await(
      [&] { return fixture.store.Has(platform::kNodePrefix + std::string("node-1")); }));
}

TEST_CASE("a node that shuts down is unready immediately and answers requests in progress") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  HttpTestClient persistent(fixture.settings.callers);
  persistent.SendRaw(PlatformFixture::Render("GET", "/one/x", "id-0"));
  CHECK(persistent.Receive().status == 200);
  server.SetMode(ServerMode::kUnresponsive);
  HttpTestClient running(fixture.settings.callers);
  running.SendRaw(PlatformFixture::Render("POST", "/act/x", "id-1", "book", 60'000));
  REQUIRE(PlatformFixture::Await([&] { return server.runs().size() == 2; }));
  fixture.TerminateNode();
  REQUIRE(PlatformFixture::Await([&] { return fixture.ReadyStatus() != 200; }));
  // A request on a persistent connection is served, and the connection is closed after it.
  server.SetMode(ServerMode::kAnswer);
  persistent.SendRaw(PlatformFixture::Render("GET", "/one/x", "id-2"));
  auto last = persistent.Receive();
  CHECK(last.status == 200);
  CHECK(last["Connection"] == "close");
  // The node fails the request at the unresponsive server before it exits.
  CHECK(running.Receive().status == 502);
  CHECK(fixture.ended.get_future().wait_for(PlatformFixture::kWaitTimeout) ==
        std::future_status::ready);
}

TEST_CASE("the state page shows why a server is eligible or not") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  fixture.AddServer("i-2", "desk", "b");
  fixture.store.Write(platform::kEvacuatePrefix + std::string("b"), "{}");
  REQUIRE(fixture.StartServing(2));
  REQUIRE(fixture.Get("/one/x").status == 200);
  auto response = HttpTestClient(*fixture.settings.metrics).Call("GET", "/v1/beliefs");
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

// Guards against a node of an isolated zone that refuses its callers for the whole partition, while
// nodes of other zones could serve them.
TEST_CASE(
    "a node that reaches neither its shards nor the store is unready and closes connections") {
  PlatformFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.AddServer(fmt::format("i-{}", i), fmt::format("s{}", i));
  REQUIRE(fixture.StartServing(3));
  REQUIRE(fixture.ReadyStatus() == 200);
  for (int i = 0; i < 3; ++i) fixture.servers.erase(fmt::format("i-{}", i));
  CHECK(fixture.Get("/all/x").status != 200);
  // The store is reachable, so the servers count as lost to all nodes alike.
  CHECK(fixture.ReadyStatus() == 200);
  fixture.store.SetMode(StoreMode::kPortClosed);
  CHECK(PlatformFixture::Await([&] {
    (void)fixture.Get("/all/x");
    return fixture.ReadyStatus() == 503;
  }));
  CHECK(fixture.Get("/all/x")["Connection"] == "close");
  fixture.store.SetMode(StoreMode::kServe);
  CHECK(PlatformFixture::Await([&] { return fixture.ReadyStatus() == 200; }));
}

std::uint64_t StoreRevision(PlatformFixture& fixture) {
  auto response = HttpTestClient(fixture.store.endpoint()).Call("GET", "/kv-range?prefix=");
  rapidjson::Document document;
  document.Parse(response.body.c_str(), response.body.size());
  REQUIRE(document.IsObject());
  return document["asOf"].GetUint64();
}

// Guards against a store load that grows with the number of nodes, and against a node that misses
// changes after the nodes that it follows have failed.
TEST_CASE(
    "a node of a large zone follows the readers of its zone, and the store if there are none") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  auto readers = MakeReaders(fixture, [] { return Duration::zero(); });
  REQUIRE(fixture.StartServing(1));
  REQUIRE(PlatformFixture::Await(
      [&] { return fixture.store.Has(platform::kNodePrefix + NodeName("node-1")); }));
  // The store no longer answers, so only a reader can send this change to the node.
  std::uint64_t revision = StoreRevision(fixture);
  fixture.store.SetMode(StoreMode::kUnresponsive);
  std::string config = PlatformFixture::Config(4, 0.6, "new");
  fixture.store.Write(platform::kConfigKey, config);
  for (auto& reader : readers) {
    reader->Announce({platform::kConfigKey, config, revision + 1, false});
  }
  CHECK(PlatformFixture::Await([&] { return fixture.Get("/new/x").status == 200; }));
  fixture.store.SetMode(StoreMode::kServe);
  readers.clear();
  fixture.store.Write(platform::kConfigKey, PlatformFixture::Config(5, 0.6, "newer"));
  CHECK(PlatformFixture::Await([&] { return fixture.Get("/newer/x").status == 200; }));
}

TEST_CASE("metrics are served on a separate address") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Get("/one/x").status == 200);
  auto page = PlatformFixture::Client(*fixture.settings.metrics).Call("GET", "/metrics");
  CHECK(page.status == 200);
  CHECK(page.body.find("damaskroute_forward_answers_total{outcome=\"passed_on\"} 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace damaskroute
