#include <doctest/doctest.h>

#include "tests/support/platform_world.h"

// A node on the stand-ins of the users' platform, from a caller's socket to a server's and back.

namespace damaskroute {
namespace {

using platform::ServerMode;
using platform::StoreMode;
using std::chrono::milliseconds;

std::string Record(char first) { return std::string(1, first) + std::string(15, '.'); }

TEST_CASE("a plain request passes unchanged in both directions") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  auto response = w.Call("POST", "/one/x?q=1", "id-7", "payload");
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

TEST_CASE("a query merges the greatest records of all shards and names its parts") {
  PlatformWorld w;
  for (int i = 0; i < 3; ++i) {
    auto& server = w.AddServer(fmt::format("i-{}", i), fmt::format("s{}", i));
    server.SetBody(Record(static_cast<char>('a' + i)) + Record(static_cast<char>('b' + i)));
  }
  REQUIRE(w.StartServing(3));
  auto response = w.Get("/all/x");
  CHECK(response.status == 200);
  CHECK(response.body == Record('d') + Record('c'));
  CHECK(response[platform::kPartStampsHeader] == "stamp-i-0, stamp-i-1, stamp-i-2");
  CHECK(response[platform::kMissingPartsHeader] == "0");
}

TEST_CASE("a query says how many shards it lacks, and is refused when it lacks too many") {
  PlatformWorld w;
  w.AddServer("i-0", "s0");
  w.AddServer("i-1", "s1");
  REQUIRE(w.StartServing(2));
  auto response = w.Get("/all/x");
  CHECK(response.status == 200);
  CHECK(response[platform::kMissingPartsHeader] == "1");
  w.store.Remove(platform::kServerPrefix + std::string("i-1"));
  REQUIRE(w.AwaitServers(1));
  response = w.Get("/all/x", "id-2");
  CHECK(response.status == 503);
  CHECK_FALSE(response["Retry-After"].empty());
}

TEST_CASE("a node without routes is not ready, and refuses with a time to come back") {
  PlatformWorld w;
  w.store.SetMode(StoreMode::kSilent);
  w.StartNode();
  CHECK(w.Ready() == 503);
  auto response = w.Get("/one/x");
  CHECK(response.status == 503);
  CHECK_FALSE(response["Retry-After"].empty());
}

TEST_CASE("no route is 404, and a route that is added later is served") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  CHECK(w.Get("/new/x").status == 404);
  w.store.Write(platform::kConfigKey, PlatformWorld::Config(4, 0.6, "new"));
  CHECK(PlatformWorld::Await([&] { return w.Get("/new/x").status == 200; }));
}

TEST_CASE("an older or unreadable configuration does not replace the one in force") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  w.store.Write(platform::kConfigKey, PlatformWorld::Config(4, 0.6, "new"));
  REQUIRE(w.StartServing(1));
  w.store.Write(platform::kConfigKey, PlatformWorld::Config(3));
  w.store.Write(platform::kConfigKey, "{");
  w.AddServer("i-2", "desk");
  REQUIRE(w.AwaitServers(2));
  CHECK(w.Get("/new/x").status == 200);
}

TEST_CASE("an action whose server resets is not sent again and not called refused") {
  PlatformWorld w;
  auto& first = w.AddServer("i-1", "desk");
  auto& second = w.AddServer("i-2", "desk");
  first.SetMode(ServerMode::kReset);
  second.SetMode(ServerMode::kReset);
  REQUIRE(w.StartServing(2));
  CHECK(w.Call("POST", "/act/x", "id-1", "book").status == 502);
  CHECK(first.runs().size() + second.runs().size() == 1);
}

TEST_CASE("an action goes on to another server after one that did not run it") {
  PlatformWorld w;
  auto& first = w.AddServer("i-1", "desk", "a");
  auto& second = w.AddServer("i-2", "desk", "b");
  first.SetMode(ServerMode::kShed);
  REQUIRE(w.StartServing(2));
  CHECK(w.Call("POST", "/act/x", "id-1", "book").status == 200);
  CHECK(first.runs().empty());
  CHECK(second.runs().size() == 1);
}

TEST_CASE("an action that all servers turn away is refused with a true not run") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kShed);
  REQUIRE(w.StartServing(1));
  CHECK(w.Call("POST", "/act/x", "id-1", "book").status == 503);
  CHECK(server.runs().empty());
}

TEST_CASE("a server's error is passed on with its own status and signature") {
  PlatformWorld w;
  w.AddServer("i-1", "desk").SetMode(ServerMode::kError);
  REQUIRE(w.StartServing(1));
  auto response = w.Call("POST", "/act/x", "id-1", "book");
  CHECK(response.status == 500);
  CHECK(response[platform::kServerStampHeader] == "stamp-i-1");
}

TEST_CASE("another server at the address does not run the request") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  server.Become("i-9");
  CHECK(w.Get("/one/x").status == 503);
  CHECK(server.runs().empty());
}

// Each of these answers looks like a success and is none, or is a success with bytes around it that
// belong to no request.
TEST_CASE("only a whole answer of the right server to the right request is a success") {
  struct Row {
    ServerMode mode;
    int status;
  };
  for (const Row& row : {Row{ServerMode::kExtraAnswer, 200}, Row{ServerMode::kStaleAnswer, 200},
                         Row{ServerMode::kNoLength, 200}, Row{ServerMode::kCutNoLength, 502},
                         Row{ServerMode::kEncoded, 502}, Row{ServerMode::kUnsigned, 502}}) {
    CAPTURE(static_cast<int>(row.mode));
    PlatformWorld w;
    auto& server = w.AddServer("i-1", "desk");
    server.SetBody("x");
    REQUIRE(w.StartServing(1));
    server.SetMode(row.mode);
    for (int i = 0; i < 3; ++i) {
      auto response = w.Call("POST", "/act/x", fmt::format("id-{}", i), "book");
      CHECK(response.status == row.status);
      if (row.status == 200) CHECK(response.body == "x");
      if (row.status == 200) CHECK(response[platform::kRequestIdHeader] == fmt::format("id-{}", i));
    }
  }
}

TEST_CASE("a silent server's request ends at the caller's deadline") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kSilent);
  REQUIRE(w.StartServing(1));
  CHECK(w.Call("POST", "/act/x", "id-1", "book", 200).status == 504);
  CHECK(std::stoi(server.runs().at(0).deadline_ms) <= 200);
}

TEST_CASE("a late idempotent request is served by the other server") {
  PlatformWorld w;
  w.AddServer("i-1", "desk", "a").SetMode(ServerMode::kSilent);
  w.AddServer("i-2", "desk", "b");
  REQUIRE(w.StartServing(2));
  auto response = w.Get("/one/x");
  CHECK(response.status == 200);
  CHECK(response[platform::kServerStampHeader] == "stamp-i-2");
}

TEST_CASE("a caller that leaves ends the work at the server") {
  PlatformWorld w;
  auto& server = w.AddServer("i-1", "desk");
  server.SetMode(ServerMode::kSilent);
  REQUIRE(w.StartServing(1));
  HttpTestClient client(w.settings.callers);
  client.SendRaw(PlatformWorld::Render("POST", "/act/x", "id-1", "book"));
  REQUIRE(PlatformWorld::Await([&] { return server.runs().size() == 1; }));
  client.Close();
  CHECK(PlatformWorld::Await([&] { return server.abandoned() == 1; }));
}

TEST_CASE("two requests on one connection are answered in order") {
  PlatformWorld w;
  w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  HttpTestClient client(w.settings.callers);
  client.SendRaw(PlatformWorld::Render("GET", "/one/x", "id-1") +
                 PlatformWorld::Render("GET", "/one/x", "id-2"));
  CHECK(client.Receive()[platform::kRequestIdHeader] == "id-1");
  CHECK(client.Receive()[platform::kRequestIdHeader] == "id-2");
}

}  // namespace
}  // namespace damaskroute
