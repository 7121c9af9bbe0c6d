#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "damaskroute/log/log_writer.h"
#include "damaskroute/node/peer_request.h"
#include "damaskroute/node/request_keys_of.h"
#include "tests/support/keyed_node.h"

// Requests with API keys through real nodes: who is served, and what the servers receive.

namespace damaskroute {
namespace {

using platform::ServerMode;
using std::chrono::milliseconds;

constexpr char kTenantLine[] = "X-Damaskroute-Tenant: ";

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Whether each request that reached a server names `tenant`, once, and no key.
void CheckServers(KeyedNode& node, const std::string& tenant, std::size_t min_requests) {
  auto all = node.ServerHeaders();
  CHECK(all.size() >= min_requests);
  for (const std::string& headers : all) {
    CAPTURE(headers);
    CHECK(headers.find("key-") == std::string::npos);
    CHECK(headers.find("Authorization") == std::string::npos);
    CHECK(Count(headers, kTenantLine) == (tenant.empty() ? 0 : 1));
    CHECK(Count(headers, kTenantLine + tenant + "\n") == (tenant.empty() ? 0 : 1));
  }
}

TEST_CASE("requests without exactly one known key get 401 and reach no server") {
  KeyedNode node;
  node.AddServers();
  REQUIRE(node.StartServing(4));
  const std::string good = "Authorization: Token key-acme\r\n";
  for (const char* target : {"/one/x", "/act/x", "/all/x"}) {
    CHECK(node.Send(target, "").status == 401);
    CHECK(node.GetWithKey(target, "key-unknown").status == 401);
    CHECK(node.Send(target, "Authorization: Bearer key-acme\r\n").status == 401);
    CHECK(node.Send(target, good + good).status == 401);
    CHECK(node.Send(target, "X-Damaskroute-Tenant: acme\r\n").status == 401);
    CHECK(node.Send(target, "Connection: Authorization\r\n").status == 401);
  }
  CHECK(node.Send("/one/x", "")["WWW-Authenticate"] == "Token");
  CHECK(node.ServerHeaders().empty());
  CHECK(node.GetWithKey("/one/x").status == 200);
}

// Guards against a caller that sees 401 from a node that knows no key yet, and does not retry.
TEST_CASE("a node without a configuration responds with 503") {
  KeyedNode node;
  node.store.SetMode(platform::StoreMode::kUnresponsive);
  node.StartNode();
  CHECK(node.Send("/one/x", "").status == 503);
  CHECK(node.GetWithKey("/one/x").status == 503);
}

TEST_CASE("servers receive the name of the tenant and never the key, whatever the caller sends") {
  KeyedNode node;
  node.AddServers();
  // A second server of each service, so that failed calls are repeated.
  for (const char* service : {"desk", "s0", "s1", "s2"}) {
    auto& server = node.AddServer(std::string("j-") + service, service, "b");
    server.SetEcho();
    server.SetMode(ServerMode::kShed);
  }
  REQUIRE(node.StartServing(8));
  for (const char* target : {"/one/x", "/act/x", "/all/x"}) {
    CHECK(node.GetWithKey(target).status == 200);
    CHECK(node.Send(target,
                    "authorization: token key-acme\r\nx-damaskroute-tenant: other\r\n"
                    "X-Damaskroute-Tenant: other\r\nConnection: X-Damaskroute-Tenant\r\n")
              .status == 200);
  }
  for (auto& [id, server] : node.servers) {
    server->SetMode(id[0] == 'i' ? ServerMode::kError : ServerMode::kAnswer);
  }
  for (int i = 0; i < 4; ++i) node.GetWithKey("/one/x");
  CheckServers(node, "acme", 14);
}

TEST_CASE("a public route needs no key, and takes the tenant of a known one") {
  KeyedNode node;
  node.AddServers();
  REQUIRE(node.StartServing(4));
  CHECK(node.Send("/new/x", "X-Damaskroute-Tenant: acme\r\n").status == 200);
  CHECK(node.GetWithKey("/new/x", "key-unknown").status == 200);
  CHECK(node.Send("/new/x", "Authorization: Bearer key-acme\r\n").status == 200);
  CheckServers(node, "", 3);
  CHECK(node.GetWithKey("/new/x", KeyedNode::kOtherKey).status == 200);
  CHECK(node.ServerHeaders().back().find(std::string(kTenantLine) + "other") != std::string::npos);
}

TEST_CASE("without tenants both headers are ordinary ones") {
  KeyedNode node;
  node.AddServers();
  node.store.Write(platform::kConfigKey, PlatformFixture::Config(2));
  REQUIRE(node.StartServing(4));
  CHECK(node.Send("/one/x", "Authorization: Bearer b\r\nX-Damaskroute-Tenant: t\r\n").status ==
        200);
  REQUIRE(node.ServerHeaders().size() == 1);
  CHECK(node.ServerHeaders()[0].find("Authorization: Bearer b") != std::string::npos);
  CHECK(node.ServerHeaders()[0].find("X-Damaskroute-Tenant: t") != std::string::npos);
}

// A node that reaches no server.
struct Stranded : KeyedNode {
  explicit Stranded(milliseconds revocation_bound = {}) : KeyedNode(revocation_bound) {
    for (const char* service : {"desk", "s0", "s1", "s2"}) {
      store.Write(platform::kServerPrefix + std::string(service),
                  Server::EntryAt(standins::NonEphemeralEndpoint(), service, "a", 1, "ready"));
    }
  }
};

TEST_CASE("a request that another node runs is authenticated there, and its servers get no key") {
  KeyedNode helper;
  helper.settings.peers = standins::NonEphemeralEndpoint();
  helper.AddServers();
  REQUIRE(helper.StartServing(4));
  Stranded node;
  node.AddPeer("node-2", *helper.settings.peers);
  REQUIRE(node.StartServing(4));
  for (const char* target : {"/one/x", "/act/x", "/all/x"}) {
    CHECK(node.GetWithKey(target).status == 200);
    CHECK(node.Send(target, "").status == 401);
  }
  CheckServers(helper, "acme", 5);
  // The other node has newer keys.
  helper.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, "key-new"));
  REQUIRE(PlatformFixture::Await([&] { return helper.RoutesVersion() == 2; }));
  std::size_t before = helper.ServerHeaders().size();
  CHECK(node.GetWithKey("/act/x").status == 401);
  CHECK(helper.ServerHeaders().size() == before);
  // A node without tenants must not run what it cannot check.
  helper.store.Write(platform::kConfigKey, PlatformFixture::Config(3));
  REQUIRE(PlatformFixture::Await([&] { return helper.RoutesVersion() == 3; }));
  CHECK(node.GetWithKey("/act/x").status == 503);
  CHECK(helper.ServerHeaders().size() == before);
}

// A request as a node of an earlier build passes it on: all headers are ordinary ones.
std::string FromEarlierBuild(const Route& route, const std::string& header_lines) {
  return KeyedNode::RenderWith("/one/x",
                               fmt::format("Damask-Peer-Route: {}\r\nDamask-Peer-Attempts: 1\r\n"
                                           "Damask-Peer-Spent-Us: 10\r\n{}",
                                           RouteFingerprint(route), header_lines));
}

TEST_CASE("no request on the port for other nodes runs by a tenant's name alone") {
  KeyedNode node;
  node.settings.peers = standins::NonEphemeralEndpoint();
  node.AddServers();
  REQUIRE(node.StartServing(4));
  Route route = node.ReadForwardingState(
      [](const ForwardingState& state) { return *state.routes()->Find("desk.example", "/one/x"); });
  auto send = [&](const std::string& header_lines) {
    HttpTestClient client(*node.settings.peers);
    client.SendRaw(FromEarlierBuild(route, header_lines));
    return client.Receive().status;
  };
  CHECK(send("X-Damaskroute-Tenant: acme\r\n") == 401);
  CHECK(send("") == 401);
  CHECK(node.ServerHeaders().empty());
  CHECK(send("Authorization: Token key-acme\r\nX-Damaskroute-Tenant: other\r\n") == 200);
  CheckServers(node, "acme", 1);
}

// Guards against a crash guard that blocks the request of one tenant because of another's.
TEST_CASE("the tenant takes part in the identity of a request, its key does not") {
  CallerRequest request = {.authorization = "Token a"};
  auto without = KeysOf(request);
  request.authorization = "Token b";
  CHECK(KeysOf(request).exact == without.exact);
  request.headers.push_back({"X-Damaskroute-Tenant", "acme"});
  auto acme = KeysOf(request);
  request.headers.back().value = "other";
  CHECK(KeysOf(request).exact != acme.exact);
}

TEST_CASE("keys occur in no log line, metric, state page or crash record") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  std::string log_text;
  std::thread reader([&, end = pipe_ends[0]] {
    std::array<char, 4096> buffer{};
    for (ssize_t n = 0; (n = read(end, buffer.data(), buffer.size())) > 0;) {
      log_text.append(buffer.data(), static_cast<std::size_t>(n));
    }
  });
  std::string pages;
  {
    LogWriter log({.descriptor = pipe_ends[1]});
    SetLogWriter(&log);
    KeyedNode node(milliseconds(5000));
    node.AddServers();
    REQUIRE(node.StartServing(4));
    CHECK(node.GetWithKey("/one/x").status == 200);
    CHECK(node.GetWithKey("/one/x", "key-unknown").status == 401);
    node.servers.at("i-desk")->SetMode(ServerMode::kReset);
    CHECK(node.GetWithKey("/act/x").status == 502);
    // Two tenants with one key.
    node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, KeyedNode::kOtherKey));
    node.store.Write(platform::kServerPrefix + std::string("i-9"),
                     node.servers.at("i-desk")->Entry("desk", "a"));
    REQUIRE(node.AwaitServers(5));
    CHECK(node.RoutesVersion() == 1);
    pages = node.Page("/metrics") + node.Page("/v1/beliefs");
    node.StopNode();
    log.Flush();
    SetLogWriter(nullptr);
  }
  close(pipe_ends[1]);
  reader.join();
  close(pipe_ends[0]);
  CHECK(Count(log_text, "configuration not usable") == 1);
  CHECK(log_text.find("key-") == std::string::npos);
  CHECK(pages.find("configuration_age") != std::string::npos);
  CHECK(pages.find("key-") == std::string::npos);
}

}  // namespace
}  // namespace damaskroute
