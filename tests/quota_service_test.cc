#include <doctest/doctest.h>

#include "damaskroute/node/peer_request.h"
#include "fmt/format.h"
#include "tests/support/platform_fixture.h"

namespace damaskroute {
namespace {

// A node whose only tenant has a quota; requests carry the tenant's key.
struct OneTenant : PlatformFixture {
  OneTenant() {
    std::string config = Config(2);
    config.insert(config.size() - 1,
                  R"(,"tenants":[{"name":"t","apiKeys":["key-1"],"ratePerS":20,"burst":1}])");
    store.Write(platform::kConfigKey, config);
    settings.quota = QuotaBounds{std::chrono::milliseconds(5'000), 0.1, 20};
    settings.quota_port = standins::NonEphemeralEndpoint();
    settings.peers = standins::NonEphemeralEndpoint();
    settings.config_bound = std::chrono::milliseconds(500);
    AddServer("i-1", "desk");
    REQUIRE(StartServing(1));
  }

  HttpTestClient::Response GetWithKey(const std::string& id) {
    return SendTo(settings.callers, id, "");
  }

  // A request that another node has passed on.
  HttpTestClient::Response GetFromPeer(const std::string& id, const std::string& header_lines) {
    auto route = ReadForwardingState([](const ForwardingState& state) {
      return RouteFingerprint(*state.routes()->Find("desk.example", "/one/x"));
    });
    return SendTo(*settings.peers, id,
                  fmt::format("Damask-Peer-Route: {}\r\nDamask-Peer-Attempts: 1\r\n"
                              "Damask-Peer-Spent-Us: 10\r\n{}",
                              route, header_lines));
  }

  HttpTestClient::Response SendTo(const Endpoint& endpoint, const std::string& id,
                                  const std::string& header_lines) {
    HttpTestClient client(endpoint);
    std::string text = Render("GET", "/one/x", id);
    text.insert(text.size() - 2, "Authorization: Token key-1\r\n" + header_lines);
    client.SendRaw(text);
    return client.Receive();
  }
};

}  // namespace

TEST_CASE("requests of a tenant wait for tokens and are refused without running above its quota") {
  // Guards against requests that run without a token, and against refusals that count as runs.
  OneTenant fixture;
  REQUIRE(fixture.Await([&] { return fixture.GetWithKey("first").status == 200; }));
  std::size_t served = 1;
  std::size_t refused = 0;
  for (int i = 0; i < 100'000 && refused < 5; ++i) {
    auto response = fixture.GetWithKey(fmt::format("id-{}", i));
    if (response.status == 200) ++served;
    if (response.status != 429) continue;
    ++refused;
    CHECK(std::stod(response["Retry-After"]) > 0);
  }
  CHECK(refused == 5);
  CHECK(fixture.servers["i-1"]->runs().size() == served);
  auto metrics = fixture.Client(*fixture.settings.metrics).Call("GET", "/metrics").body;
  CHECK(metrics.find(R"(damaskroute_quota_requests_total{outcome="over_quota"} 5)") !=
        std::string::npos);
}

TEST_CASE("requests of another node are charged unless it has charged them") {
  // Guards against requests that no node counts, as the other one knows no quota of the tenant.
  OneTenant fixture;
  REQUIRE(fixture.Await([&] { return fixture.GetWithKey("first").status == 200; }));
  for (int i = 0; i < 60; ++i) {
    auto response = fixture.GetFromPeer(fmt::format("c-{}", i), "Damask-Peer-Charged: 1\r\n");
    CHECK(response.status == 200);
  }
  bool refused = false;
  for (int i = 0; i < 10'000 && !refused; ++i) {
    refused = fixture.GetFromPeer(fmt::format("id-{}", i), "").status == 429;
  }
  CHECK(refused);
}

TEST_CASE("a token whose request found no server is used by the next request") {
  // Guards against tokens that are lost with requests that have not run.
  OneTenant fixture;
  REQUIRE(fixture.Await([&] { return fixture.GetWithKey("first").status == 200; }));
  fixture.store.Remove(std::string(platform::kServerPrefix) + "i-1");
  REQUIRE(fixture.AwaitServers(0));
  // More requests than the quota has tokens: none of them is refused because of the quota.
  for (int i = 0; i < 60; ++i) CHECK(fixture.GetWithKey(fmt::format("id-{}", i)).status == 503);
}

}  // namespace damaskroute
