#include <doctest/doctest.h>

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
  ScriptedServer peer(
      w.loop, {3, {"HTTP/1.1 200 OK\r\nX-From: peer\r\nContent-Length: 4\r\n\r\nbody"}});
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

}  // namespace
}  // namespace damaskroute
