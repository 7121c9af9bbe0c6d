#include <doctest/doctest.h>

#include "tests/support/platform_fixture.h"

// The path of a request through a node, from the caller's connection to a stand-in for a server of
// the users' platform and back.

namespace damaskroute {
namespace {

using platform::ServerMode;
using platform::StoreMode;
using std::chrono::milliseconds;

std::string Record(char first) { return std::string(1, first) + std::string(15, '.'); }

TEST_CASE("a plain request and its answer are forwarded unchanged") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  auto response = fixture.Call("POST", "/one/x?q=1", "id-7", "payload");
  CHECK(response.status == 200);
  CHECK(response.body == "body");
  CHECK(response[platform::kServerStampHeader] == "stamp-i-1");
  CHECK(response["X-Other"] == "kept");
  auto runs = server.runs();
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].id == "id-7");
  CHECK(runs[0].method == "POST");
  CHECK(runs[0].target == "/one/x?q=1");
  CHECK(runs[0].body == "payload");
  CHECK(runs[0].expected_instance == "i-1");
  CHECK(runs[0].custom == "kept");
  int deadline = std::stoi(runs[0].deadline_ms);
  CHECK(deadline > 0);
  CHECK(deadline <= 1500);
}

TEST_CASE("a query merges the greatest records of all shards and lists the stamps of its parts") {
  PlatformFixture fixture;
  for (int i = 0; i < 3; ++i) {
    auto& server = fixture.AddServer(fmt::format("i-{}", i), fmt::format("s{}", i));
    server.SetBody(Record(static_cast<char>('a' + i)) + Record(static_cast<char>('b' + i)));
  }
  REQUIRE(fixture.StartServing(3));
  auto response = fixture.Get("/all/x");
  CHECK(response.status == 200);
  CHECK(response.body == Record('d') + Record('c'));
  CHECK(response[platform::kPartStampsHeader] == "stamp-i-0, stamp-i-1, stamp-i-2");
  CHECK(response[platform::kMissingPartsHeader] == "0");
}

TEST_CASE("a query reports the number of missing shards, and is refused if too many are missing") {
  PlatformFixture fixture;
  fixture.AddServer("i-0", "s0");
  fixture.AddServer("i-1", "s1");
  REQUIRE(fixture.StartServing(2));
  auto response = fixture.Get("/all/x");
  CHECK(response.status == 200);
  CHECK(response[platform::kMissingPartsHeader] == "1");
  fixture.store.Remove(platform::kServerPrefix + std::string("i-1"));
  REQUIRE(fixture.AwaitServers(1));
  response = fixture.Get("/all/x", "id-2");
  CHECK(response.status == 503);
  CHECK_FALSE(response["Retry-After"].empty());
}

TEST_CASE("a node without routes is not ready and refuses requests with a Retry-After") {
  PlatformFixture fixture;
  fixture.store.SetMode(StoreMode::kUnresponsive);
  fixture.StartNode();
  CHECK(fixture.ReadyStatus() == 503);
  auto response = fixture.Get("/one/x");
  CHECK(response.status == 503);
  CHECK_FALSE(response["Retry-After"].empty());
}

TEST_CASE("an unknown route is answered with 404, and a route that is added later is served") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Get("/new/x").status == 404);
  fixture.store.Write(platform::kConfigKey, PlatformFixture::Config(4, 0.6, "new"));
  CHECK(PlatformFixture::Await([&] { return fixture.Get("/new/x").status == 200; }));
}

TEST_CASE("an older or invalid configuration does not replace the active one") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  fixture.store.Write(platform::kConfigKey, PlatformFixture::Config(4, 0.6, "new"));
  REQUIRE(fixture.StartServing(1));
  fixture.store.Write(platform::kConfigKey, PlatformFixture::Config(3));
  fixture.store.Write(platform::kConfigKey, "{");
  fixture.AddServer("i-2", "desk");
  REQUIRE(fixture.AwaitServers(2));
  CHECK(fixture.Get("/new/x").status == 200);
}

TEST_CASE(
    "an action whose server resets the connection is neither retried nor reported as refused") {
  PlatformFixture fixture;
  auto& first = fixture.AddServer("i-1", "desk");
  auto& second = fixture.AddServer("i-2", "desk");
  first.SetMode(ServerMode::kReset);
  second.SetMode(ServerMode::kReset);
  REQUIRE(fixture.StartServing(2));
  CHECK(fixture.Call("POST", "/act/x", "id-1", "book").status == 502);
  CHECK(first.runs().size() + second.runs().size() == 1);
}

TEST_CASE("an action is retried at another server if the first did not run it") {
  PlatformFixture fixture;
  auto& first = fixture.AddServer("i-1", "desk", "a");
  auto& second = fixture.AddServer("i-2", "desk", "b");
  first.SetMode(ServerMode::kShed);
  REQUIRE(fixture.StartServing(2));
  CHECK(fixture.Call("POST", "/act/x", "id-1", "book").status == 200);
  CHECK(first.runs().empty());
  CHECK(second.runs().size() == 1);
}

TEST_CASE("an action that all servers shed is refused and has not run") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kShed);
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Call("POST", "/act/x", "id-1", "book").status == 503);
  CHECK(server.runs().empty());
}

TEST_CASE("a server's error is forwarded with its status and stamp") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk").SetMode(ServerMode::kError);
  REQUIRE(fixture.StartServing(1));
  auto response = fixture.Call("POST", "/act/x", "id-1", "book");
  CHECK(response.status == 500);
  CHECK(response[platform::kServerStampHeader] == "stamp-i-1");
}

TEST_CASE("a server that took over the address of another does not run its requests") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  server.ChangeId("i-9");
  CHECK(fixture.Get("/one/x").status == 503);
  CHECK(server.runs().empty());
}

// Each of these answers is a failure that resembles a success, or a success with extra bytes before
// or after it that belong to no pending request.
TEST_CASE("only a complete answer by the right server to the right request is a success") {
  struct Row {
    ServerMode mode;
    int status;
  };
  for (const Row& row : {Row{ServerMode::kExtraAnswer, 200}, Row{ServerMode::kStaleAnswer, 200},
                         Row{ServerMode::kNoLength, 200}, Row{ServerMode::kTruncatedNoLength, 502},
                         Row{ServerMode::kEncoded, 502}, Row{ServerMode::kUnsigned, 502}}) {
    CAPTURE(static_cast<int>(row.mode));
    PlatformFixture fixture;
    auto& server = fixture.AddServer("i-1", "desk");
    server.SetBody("x");
    REQUIRE(fixture.StartServing(1));
    server.SetMode(row.mode);
    for (int i = 0; i < 3; ++i) {
      auto response = fixture.Call("POST", "/act/x", fmt::format("id-{}", i), "book");
      CHECK(response.status == row.status);
      if (row.status == 200) CHECK(response.body == "x");
      if (row.status == 200) CHECK(response[platform::kRequestIdHeader] == fmt::format("id-{}", i));
    }
  }
}

TEST_CASE("a request to an unresponsive server fails at the caller's deadline") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kUnresponsive);
  REQUIRE(fixture.StartServing(1));
  CHECK(fixture.Call("POST", "/act/x", "id-1", "book", 200).status == 504);
  CHECK(std::stoi(server.runs().at(0).deadline_ms) <= 200);
}

TEST_CASE("an idempotent request to an unresponsive server is served by another server") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk", "a").SetMode(ServerMode::kUnresponsive);
  fixture.AddServer("i-2", "desk", "b");
  REQUIRE(fixture.StartServing(2));
  auto response = fixture.Get("/one/x");
  CHECK(response.status == 200);
  CHECK(response[platform::kServerStampHeader] == "stamp-i-2");
}

TEST_CASE("a request is cancelled at the server when its caller disconnects") {
  PlatformFixture fixture;
  auto& server = fixture.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kUnresponsive);
  REQUIRE(fixture.StartServing(1));
  HttpTestClient client(fixture.settings.callers);
  client.SendRaw(PlatformFixture::Render("POST", "/act/x", "id-1", "book"));
  REQUIRE(PlatformFixture::Await([&] { return server.runs().size() == 1; }));
  client.Close();
  CHECK(PlatformFixture::Await([&] { return server.abandoned() == 1; }));
}

TEST_CASE("pipelined requests on one connection are answered in order") {
  PlatformFixture fixture;
  fixture.AddServer("i-1", "desk");
  REQUIRE(fixture.StartServing(1));
  HttpTestClient client(fixture.settings.callers);
  client.SendRaw(PlatformFixture::Render("GET", "/one/x", "id-1") +
                 PlatformFixture::Render("GET", "/one/x", "id-2"));
  CHECK(client.Receive()[platform::kRequestIdHeader] == "id-1");
  CHECK(client.Receive()[platform::kRequestIdHeader] == "id-2");
}

}  // namespace
}  // namespace damaskroute
