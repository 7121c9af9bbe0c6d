#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "tests/support/platform_fixture.h"
#include "tests/support/scripted_server.h"

// Guards against requests that a node refuses because it is partitioned from all backend servers,
// although other nodes could serve them.

namespace damaskroute {
namespace {

// A node with servers that nobody listens for.
struct StrandedNode : PlatformFixture {
  StrandedNode() {
    for (const char* service : {"desk", "s0", "s1", "s2"}) {
      Endpoint closed = standins::NonEphemeralEndpoint();
      store.Write(platform::kServerPrefix + std::string(service),
                  Server::EntryAt(closed, service, "a", 1, "ready"));
    }
  }

  // Makes a node known that serves the requests of other nodes at `endpoint`.
  void AddPeer(const std::string& name, const Endpoint& endpoint) {
    store.Write(platform::kNodePrefix + name,
                fmt::format(R"({{"zone":"b","requests":"{}"}})", FormatEndpoint(endpoint)));
  }
};

TEST_CASE("requests that only other nodes can serve are served through one of them") {
  StrandedNode w;
  ScriptedServer peer(w.loop,
                      {3, {"HTTP/1.1 200 OK\r\nX-From: peer\r\nContent-Length: 4\r\n\r\nbody"}});
  w.AddPeer("node-2", peer.endpoint());
  REQUIRE(w.StartServing(4));
  for (const char* target : {"/one/x", "/act/x", "/all/x"}) {
    auto answer = w.Get(target);
    CHECK(answer.status == 200);
    CHECK(answer["X-From"] == "peer");
    CHECK(answer.body == "body");
  }
  CHECK(peer.requests() == 3);
}

// A node that reaches its servers and serves the requests of other nodes.
struct ServingNode : PlatformFixture {
  ServingNode() {
    settings.peers = standins::NonEphemeralEndpoint();
    for (const char* service : {"desk", "s0", "s1", "s2"}) {
      AddServer(std::string("i-") + service, service).SetEcho();
    }
  }
};

TEST_CASE(
    "the node that helps serves a request as its own, once and within the caller's deadline") {
  ServingNode peer;
  REQUIRE(peer.StartServing(4));
  StrandedNode w;
  w.AddPeer("node-2", *peer.settings.peers);
  REQUIRE(w.StartServing(4));
  auto action = w.Call("POST", "/act/x?y=1", "id-7", "text", /*deadline_ms=*/900);
  CHECK(action.status == 200);
  CHECK(action[platform::kServerStampHeader] == platform::EchoStamp("i-desk", "id-7"));
  auto runs = peer.servers.at("i-desk")->runs();
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].id == "id-7");
  CHECK(runs[0].method == "POST");
  CHECK(runs[0].target == "/act/x?y=1");
  CHECK(runs[0].body == "text");
  CHECK(runs[0].custom == "kept");
  CHECK(std::stoi(runs[0].deadline_ms) <= 900);
  auto query = w.Get("/all/x", "id-8");
  CHECK(query.status == 200);
  CHECK(query[platform::kMissingPartsHeader] == "0");
}

TEST_CASE("a refusal and a failure of the node that helps are passed on") {
  ServingNode peer;
  REQUIRE(peer.StartServing(4));
  StrandedNode w;
  w.AddPeer("node-2", *peer.settings.peers);
  REQUIRE(w.StartServing(4));
  peer.servers.at("i-desk")->SetMode(platform::ServerMode::kShed);
  auto refused = w.Get("/act/x");
  CHECK(refused.status == 503);
  CHECK(std::stod(refused["Retry-After"]) > 0);
  CHECK(peer.servers.at("i-desk")->runs().empty());
  peer.servers.at("i-desk")->SetMode(platform::ServerMode::kReset);
  CHECK(w.Get("/act/x").status == 502);
}

// Guards against requests that go round between nodes without links.
TEST_CASE("a request that the other node cannot serve either is refused at once") {
  StrandedNode other;
  other.settings.peers = standins::NonEphemeralEndpoint();
  StrandedNode w;
  w.settings.peers = standins::NonEphemeralEndpoint();
  w.AddPeer("node-2", *other.settings.peers);
  other.AddPeer("node-2", *w.settings.peers);
  REQUIRE(other.StartServing(4));
  REQUIRE(w.StartServing(4));
  for (const char* target : {"/one/x", "/act/x", "/act/x"}) {
    auto refused = w.Get(target);
    CHECK(refused.status == 503);
    CHECK(std::stod(refused["Retry-After"]) > 0);
    CHECK(refused["Damask-Not-Servable"].empty());
  }
}

// Guards against a false 404, and against routes that go back for one caller.
TEST_CASE("a node with another version of the route does not serve the request") {
  ServingNode peer;
  REQUIRE(peer.StartServing(4));
  StrandedNode w;
  w.AddPeer("node-2", *peer.settings.peers);
  w.store.Write(platform::kConfigKey, PlatformFixture::Config(2, /*min_coverage=*/0.7, "new"));
  REQUIRE(w.StartServing(4));
  CHECK(w.Get("/new/x").status == 503);  // Unknown at the other node.
  CHECK(w.Get("/all/x").status != 200);  // Different there.
  CHECK(w.Get("/act/x").status == 200);
  CHECK(peer.servers.at("i-s0")->runs().empty());
}

TEST_CASE("a request goes to a third node if the second is not reached") {
  ServingNode peer;
  REQUIRE(peer.StartServing(4));
  StrandedNode w;
  w.AddPeer("node-2", *peer.settings.peers);
  w.AddPeer("node-3", standins::NonEphemeralEndpoint());
  w.AddPeer("node-4", standins::NonEphemeralEndpoint());
  REQUIRE(w.StartServing(4));
  for (int i = 0; i < 10; ++i) CHECK(w.Get("/act/x", fmt::format("id-{}", i)).status == 200);
  CHECK(peer.servers.at("i-desk")->runs().size() == 10);
}

// Guards against actions that run twice.
TEST_CASE("an action is not passed on again after it was lost at another node") {
  StrandedNode w;
  std::atomic<int> requests{0};
  auto close_after_request = [&](const RawServer::Connection& connection) {
    auto bytes = std::make_shared<std::string>(4096, ' ');
    connection->async_read_some(asio::buffer(*bytes),
                                [&requests, bytes, connection](const auto&, std::size_t) {
                                  if (bytes->find("/act/x") != std::string::npos) ++requests;
                                  connection->close();
                                });
  };
  RawServer peer(w.loop, close_after_request);
  RawServer another(w.loop, close_after_request);
  w.AddPeer("node-2", peer.endpoint());
  w.AddPeer("node-3", another.endpoint());
  REQUIRE(w.StartServing(4));
  CHECK(w.Get("/act/x").status == 502);
  CHECK(requests == 1);
}

// Guards against 503, which promises that the request did not run, for one that a server of this
// node ran before it was passed on.
TEST_CASE("a query that ran here is not refused when other nodes do not serve it") {
  bool peer_refuses = false;
  SUBCASE("another node is not reached") {}
  SUBCASE("another node refuses it") { peer_refuses = true; }
  CAPTURE(peer_refuses);
  // The query is cancelled before a server has read it if the calls to the others fail sooner.
  bool ran = false;
  for (int i = 0; i < 20 && !ran; ++i) {
    PlatformFixture w;
    auto& server = w.AddServer("i-s0", "s0");
    server.SetMode(platform::ServerMode::kReset);
    for (const char* service : {"s1", "s2"}) {
      Endpoint closed = standins::NonEphemeralEndpoint();
      w.store.Write(platform::kServerPrefix + std::string(service),
                    PlatformFixture::Server::EntryAt(closed, service, "a", 1, "ready"));
    }
    Endpoint peer = standins::NonEphemeralEndpoint();
    std::optional<ScriptedServer> refusing;
    if (peer_refuses) {
      ScriptedServer::Pieces refusal{
          "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"};
      refusing.emplace(w.loop, std::vector(3, refusal));
      peer = refusing->endpoint();
    }
    w.store.Write(platform::kNodePrefix + std::string("node-2"),
                  fmt::format(R"({{"zone":"b","requests":"{}"}})", FormatEndpoint(peer)));
    REQUIRE(w.StartServing(3));
    CHECK(w.Get("/all/x").status == 502);
    ran = !server.runs().empty();
    if (refusing) CHECK(refusing->requests() >= 1);
  }
  CHECK(ran);
}

TEST_CASE("the call at a server ends when the caller of the other node leaves") {
  ServingNode peer;
  peer.servers.at("i-desk")->SetMode(platform::ServerMode::kUnresponsive);
  REQUIRE(peer.StartServing(4));
  StrandedNode w;
  w.AddPeer("node-2", *peer.settings.peers);
  REQUIRE(w.StartServing(4));
  {
    HttpTestClient client(w.settings.callers);
    client.SendRaw(PlatformFixture::Render("GET", "/act/x", "id-1", "", 15'000));
    REQUIRE(PlatformFixture::Await([&] { return peer.servers.at("i-desk")->runs().size() == 1; }));
  }
  CHECK(PlatformFixture::Await([&] { return peer.servers.at("i-desk")->abandoned() == 1; }));
}

TEST_CASE("the node serves its callers itself once it reaches the servers") {
  ServingNode peer;
  REQUIRE(peer.StartServing(4));
  StrandedNode w;
  w.AddPeer("node-2", *peer.settings.peers);
  REQUIRE(w.StartServing(4));
  CHECK(w.Get("/act/x").status == 200);
  auto& server = w.AddServer("i-1", "desk");
  REQUIRE(w.AwaitServers(5));
  CHECK(w.Get("/act/x").status == 200);
  CHECK(server.runs().size() == 1);
  CHECK(peer.servers.at("i-desk")->runs().size() == 1);
}

}  // namespace
}  // namespace damaskroute
