#ifndef TESTS_SUPPORT_PLATFORM_FLEET_H_
#define TESTS_SUPPORT_PLATFORM_FLEET_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/platform_fixture.h"

namespace damaskroute {

/// Several nodes that share stand-ins for the store and the servers of the users' platform, with
/// the routes of `PlatformFixture`: 8 servers of `desk` and 4 of each shard, in two zones. Requests
/// whose target contains `kCrashMarker` crash the servers that run them.
class PlatformFleet {
 public:
  static constexpr char kCrashMarker[] = "deadly";
  static constexpr int kDeskServers = 8;
  static constexpr int kServersPerShard = 4;

  explicit PlatformFleet(int node_count) {
    store.Write(platform::kConfigKey, PlatformFixture::Config(1));
    for (int i = 0; i < kDeskServers; ++i) AddServer("desk", i);
    for (const char* shard : {"s0", "s1", "s2"}) {
      for (int i = 0; i < kServersPerShard; ++i) AddServer(shard, i);
    }
    for (int i = 0; i < node_count; ++i) AddNode();
  }

  ~PlatformFleet() {
    while (!nodes.empty()) StopNode(nodes.size() - 1);
  }

  /// Starts another node and waits until it serves. False if it does not.
  bool AddNode() {
    auto node = std::make_unique<RunningNode>();
    ForwardNodeSettings& settings = node->settings;
    settings.node = fmt::format("node-{}", next_node_++);
    settings.zone = next_node_ % 2 == 0 ? "a" : "b";
    settings.callers = standins::NonEphemeralEndpoint();
    settings.ready = standins::NonEphemeralEndpoint();
    settings.metrics = standins::NonEphemeralEndpoint();
    settings.peers = standins::NonEphemeralEndpoint();
    settings.ready_path = platform::kReadyPath;
    settings.store = store.endpoint();
    settings.budget_slack = 1000;
    settings.drain_bound = std::chrono::milliseconds(750);  // New servers are known sooner.
    auto reload = [settings] { return absl::StatusOr<ForwardNodeSettings>(settings); };
    node->node = std::make_unique<ForwardNode<platform::Platform>>(node->loop, settings,
                                                                   platform::Platform(), reload);
    if (!node->node->Start().ok()) return false;
    node->thread = std::thread([&loop = node->loop] { loop.run(); });
    nodes.push_back(std::move(node));
    Endpoint ready = nodes.back()->settings.ready;
    return PlatformFixture::Await(
        [ready] { return HttpTestClient(ready).Call("GET", platform::kReadyPath).status == 200; });
  }

  /// Ends a node at once, as SIGKILL does.
  void StopNode(std::size_t index) {
    RunningNode& node = *nodes[index];
    node.loop.stop();
    node.thread.join();
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(index));
  }

  /// Waits until the node knows the current incarnations of all servers and no others.
  bool AwaitServers(std::size_t index) {
    RunningNode& node = *nodes[index % nodes.size()];
    return PlatformFixture::Await([&] {
      std::promise<bool> found;
      asio::post(node.loop, [&] {
        const auto& known = node.node->forward_server().service().forwarding_state().backends();
        found.set_value(known.size() == servers.size() &&
                        std::all_of(servers.begin(), servers.end(), [&](const Server& server) {
                          return known.all().contains(server.standin->id());
                        }));
      });
      return found.get_future().get();
    });
  }

  /// Sends a request to the node. `caller` identifies the caller; `tag` is the value of another
  /// header.
  HttpTestClient::Response Call(std::size_t node, const std::string& method,
                                const std::string& target, const std::string& body = "",
                                const std::string& caller = "caller-1",
                                const std::string& tag = "") {
    HttpTestClient client(nodes[node % nodes.size()]->settings.callers);
    std::string headers = tag.empty() ? "" : fmt::format("X-Tag: {}\r\n", tag);
    client.SendRaw(RequestText(method, target, body, caller, kCallerTimeout, headers));
    return client.Receive();
  }

  /// Sends a request to the node. The caller states a timeout and leaves after it, without reading
  /// an answer.
  void CallAndLeave(std::size_t node, const std::string& method, const std::string& target,
                    std::chrono::milliseconds timeout, std::chrono::milliseconds leaves_after) {
    HttpTestClient client(nodes[node % nodes.size()]->settings.callers);
    client.SendRaw(RequestText(method, target, "payload", "caller-1", timeout));
    std::this_thread::sleep_for(leaves_after);
  }

  /// The runs of requests for this target at all servers, in the order in which they began.
  std::vector<platform::ReceivedRequest> RunsOf(const std::string& target) const {
    std::vector<platform::ReceivedRequest> found;
    for (const auto& server : servers) {
      for (auto& run : server.standin->runs()) {
        if (run.target == target) found.push_back(std::move(run));
      }
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return found;
  }

  /// Number of crashes that were counted.
  std::size_t crashes() const { return crashes_; }

  /// Counts the servers that have crashed since the last call, and leaves them down.
  void CountCrashed() {
    for (auto& server : servers) {
      if (server.down || !server.standin->crashed()) continue;
      server.down = true;
      server.down_since = SteadyClock().Now();
      ++crashes_;
    }
  }

  /// Restarts the servers that have crashed, as new incarnations with other ids.
  void RestartCrashed() {
    CountCrashed();
    for (std::size_t i = 0; i < servers.size(); ++i) RestartOne(i);
  }

  /// Restarts the servers that have crashed and were counted at least `downtime` ago.
  void RestartAfter(Duration downtime) {
    CountCrashed();
    TimePoint now = SteadyClock().Now();
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (servers[i].down && now >= servers[i].down_since + downtime) RestartOne(i);
    }
  }

  /// Restarts a server that has crashed and was counted.
  void RestartOne(std::size_t index) {
    Server& server = servers[index];
    if (!std::exchange(server.down, false)) return;
    store.Remove(platform::kServerPrefix + server.standin->id());
    server.standin->Restart(fmt::format("{}-{}", server.id, ++server.restarts));
    store.Write(platform::kServerPrefix + server.standin->id(),
                server.standin->Entry(server.service, server.zone));
  }

  /// Crashes all servers of a zone.
  void CrashZone(const std::string& zone) {
    for (auto& server : servers) {
      if (server.zone == zone) server.standin->Crash();
    }
  }

  /// Resets all connections of all servers, which go on.
  void ResetConnections() {
    for (auto& server : servers) server.standin->ResetConnections();
  }

  /// Sets how long servers run a request before it crashes them.
  void SetCrashDelay(Duration delay) {
    for (auto& server : servers) server.standin->SetCrashDelay(delay);
  }

  /// Sets how long servers take for an answer.
  void SetAnswerDelay(Duration delay) {
    for (auto& server : servers) server.standin->SetAnswerDelay(delay);
  }

  /// From now on no request crashes a server.
  void SpareServers() {
    for (auto& server : servers) server.standin->SetCrashMarker("");
  }

  struct Server {
    std::string id;
    std::string service;
    std::string zone;
    std::unique_ptr<platform::ServerStandin> standin;
    int restarts = 0;
    bool down = false;  // Has crashed and was counted.
    TimePoint down_since;
  };

  struct RunningNode {
    ForwardNodeSettings settings;
    asio::io_context loop{1};
    std::unique_ptr<ForwardNode<platform::Platform>> node;
    std::thread thread;
  };

  standins::LoopThread loop;
  platform::StoreStandin store{loop};
  std::vector<Server> servers;
  std::vector<std::unique_ptr<RunningNode>> nodes;

 private:
  static constexpr std::chrono::milliseconds kCallerTimeout{1500};

  std::string RequestText(const std::string& method, const std::string& target,
                          const std::string& body, const std::string& caller,
                          std::chrono::milliseconds timeout, const std::string& headers = "") {
    std::string text = fmt::format(
        "{} {} HTTP/1.1\r\nHost: desk.example\r\n{}: id-{}\r\n{}: {}\r\nAuthorization: {}\r\n",
        method, target, platform::kRequestIdHeader, next_request_.fetch_add(1),
        platform::kDeadlineHeader, timeout.count(), caller);
    text += headers;
    if (!body.empty()) text += fmt::format("Content-Length: {}\r\n", body.size());
    return text + "\r\n" + body;
  }

  void AddServer(const std::string& service, int number) {
    Server server{fmt::format("i-{}-{}", service, number), service, number % 2 == 0 ? "a" : "b",
                  nullptr};
    server.standin = std::make_unique<platform::ServerStandin>(loop, server.id);
    server.standin->SetEcho();
    server.standin->SetCrashMarker(kCrashMarker);
    store.Write(platform::kServerPrefix + server.id, server.standin->Entry(service, server.zone));
    servers.push_back(std::move(server));
  }

  std::size_t crashes_ = 0;
  int next_node_ = 0;
  std::atomic<int> next_request_{0};
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_PLATFORM_FLEET_H_
