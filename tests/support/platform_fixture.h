#ifndef TESTS_SUPPORT_PLATFORM_FIXTURE_H_
#define TESTS_SUPPORT_PLATFORM_FIXTURE_H_

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/node/forward_node.h"
#include "fmt/format.h"
#include "platform/platform.h"
#include "platform/standins/server_standin.h"
#include "platform/standins/store_standin.h"
#include "platform/wire_names.h"
#include "standins/fault_proxy.h"
#include "standins/non_ephemeral_endpoint.h"
#include "tests/http_test_client.h"

namespace damaskroute {

/// One node with stand-ins for the store and the servers of the users' platform. It has three
/// routes: `/one/` is idempotent, `/act/` is not, and `/all/` queries the shards `s0`, `s1` and
/// `s2`.
class PlatformFixture {
 public:
  using Node = ForwardNode<platform::Platform>;
  using Server = platform::ServerStandin;
  static constexpr std::chrono::seconds kWaitTimeout{20};

  explicit PlatformFixture(double min_coverage = 0.6) {
    store.Write(platform::kConfigKey, Config(1, min_coverage));
  }

  ~PlatformFixture() { StopNode(); }

  static std::string Config(int version, double min_coverage = 0.6,
                            const std::string& extra_route = "",
                            const std::string& extra_service = "desk") {
    auto route = [](const std::string& prefix, const std::string& rest) {
      return fmt::format(
          R"({{"name":"r{}","host":"desk.example","prefix":"/{}/","timeoutMs":1500,"maxAttempts":2,)"
          R"("priority":1,{}}})",
          prefix, prefix, rest);
    };
    std::string routes =
        route("one", R"("type":"idempotent","service":"desk","targetLatencyMs":600)") + "," +
        route("act", R"("type":"non_idempotent","service":"desk","targetLatencyMs":600)") + "," +
        route("all", fmt::format(R"("type":"idempotent","fanout":["s0","s1","s2"],"topK":2,)"
                                 R"("minCoverage":{},"targetLatencyMs":300)",
                                 min_coverage));
    if (!extra_route.empty()) {
      routes += "," + route(extra_route,
                            fmt::format(R"("type":"idempotent","service":"{}")", extra_service));
    }
    return fmt::format(
        R"({{"version":{},"routes":[{}],"services":[{{"name":"desk","maxConnections":64}}],)"
        R"("limits":{{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":2000,)"
        R"("idleTimeoutMs":60000}}}})",
        version, routes);
  }

  Server& AddServer(const std::string& id, const std::string& service,
                    const std::string& zone = "a") {
    auto server = std::make_unique<Server>(loop, id);
    Server& added = *server;
    servers[id] = std::move(server);
    store.Write(platform::kServerPrefix + id, added.Entry(service, zone));
    return added;
  }

  void StartNode() {
    settings.node = "node-1";
    settings.zone = "a";
    settings.callers = standins::NonEphemeralEndpoint();
    settings.ready = standins::NonEphemeralEndpoint();
    settings.metrics = standins::NonEphemeralEndpoint();
    settings.ready_path = platform::kReadyPath;
    settings.store = store_link ? store_link->endpoint() : store.endpoint();
    settings.grace = std::chrono::milliseconds(1500);
    settings.budget_slack = 1000;
    node_loop = std::make_unique<asio::io_context>(1);
    node = std::make_unique<Node>(*node_loop, settings, platform::Platform(),
                                  [this] { return absl::StatusOr<ForwardNodeSettings>(settings); });
    start_status = node->Start();
    node_thread = std::thread([this] { node_loop->run(); });
  }

  /// Starts the node and waits until it is ready and knows `servers` servers.
  bool StartServing(std::size_t servers) {
    StartNode();
    return AwaitReady() && AwaitServers(servers);
  }

  /// Stops the node immediately, as SIGKILL does.
  void StopNode() {
    if (!node_thread.joinable()) return;
    node_loop->stop();
    node_thread.join();
    node.reset();
    node_loop.reset();
  }

  /// Starts a graceful shutdown, as SIGTERM does. `ended` is set when the node may exit.
  void TerminateNode() {
    asio::post(*node_loop, [this] { node->Stop([this] { ended.set_value(); }); });
  }

  /// HTTP status of the readiness check.
  int ReadyStatus() { return Client(settings.ready).Call("GET", platform::kReadyPath).status; }

  bool AwaitReady() {
    return Await([this] { return ReadyStatus() == 200; });
  }

  /// Calls `read` with the node's forwarding state on the node's thread and returns the result.
  template <typename Read>
  auto ReadForwardingState(Read read) {
    std::promise<decltype(read(node->forward_server().service().forwarding_state()))> found;
    asio::post(*node_loop,
               [&] { found.set_value(read(node->forward_server().service().forwarding_state())); });
    return found.get_future().get();
  }

  Revision RoutesVersion() {
    return ReadForwardingState(
        [](const ForwardingState& forwarding_state) { return forwarding_state.routes_version(); });
  }

  /// Waits until the node knows `count` servers.
  bool AwaitServers(std::size_t count) {
    return Await([&] {
      return ReadForwardingState(
                 [](const ForwardingState& state) { return state.backends().size(); }) == count;
    });
  }

  /// Polls `condition` until it holds; false after `kWaitTimeout`.
  template <typename Condition>
  static bool Await(Condition condition) {
    auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  static HttpTestClient Client(const Endpoint& endpoint) { return HttpTestClient(endpoint); }

  HttpTestClient::Headers Headers(const std::string& id, int deadline_ms = 1500) const {
    return {{platform::kRequestIdHeader, id},
            {platform::kDeadlineHeader, std::to_string(deadline_ms)}};
  }

  HttpTestClient::Response Get(const std::string& target, const std::string& id = "id-1",
                               int deadline_ms = 1500) {
    return Call("GET", target, id, "", deadline_ms);
  }

  HttpTestClient::Response Call(const std::string& method, const std::string& target,
                                const std::string& id, const std::string& body = "",
                                int deadline_ms = 1500) {
    HttpTestClient client(settings.callers);
    client.SendRaw(Render(method, target, id, body, deadline_ms));
    return client.Receive();
  }

  static std::string Render(const std::string& method, const std::string& target,
                            const std::string& id, const std::string& body = "",
                            int deadline_ms = 1500) {
    std::string text = fmt::format(
        "{} {} HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n{}: {}\r\nX-Custom: kept\r\n"
        "Connection: keep-alive\r\n",
        method, target, platform::kRequestIdHeader, id, platform::kDeadlineHeader, deadline_ms);
    if (!body.empty()) text += fmt::format("Content-Length: {}\r\n", body.size());
    return text + "\r\n" + body;
  }

  standins::LoopThread loop;
  platform::StoreStandin store{loop};
  std::unique_ptr<standins::FaultProxy> store_link;  ///< If set, the node's way to the store.
  std::map<std::string, std::unique_ptr<Server>> servers;
  ForwardNodeSettings settings;
  std::unique_ptr<asio::io_context> node_loop;
  std::unique_ptr<Node> node;
  std::thread node_thread;
  absl::Status start_status;
  std::promise<void> ended;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_PLATFORM_FIXTURE_H_
