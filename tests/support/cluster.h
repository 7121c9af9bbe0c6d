#ifndef DAMASKROUTE_TESTS_SUPPORT_CLUSTER_H_
#define DAMASKROUTE_TESTS_SUPPORT_CLUSTER_H_

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/node/entry_node.h"
#include "rapidjson/document.h"
#include "standins/backend_standin.h"
#include "standins/loop.h"
#include "tests/support/http_call.h"

namespace damaskroute::testing {

/// Calls `condition` until it is true, for at most ten seconds. The limit only ends a test that
/// has failed already.
template <typename Condition>
bool WaitFor(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// Entry nodes and stand-in backend servers in one process, over real sockets on loopback. The
/// configuration and the roster are installed directly, without a store.
class Cluster {
 public:
  Cluster() {
    config_.revision = 1;
    config_.change_id = "test";
  }

  ~Cluster() {
    nodes_.clear();
    backends_.clear();
  }

  void AddZone(const std::string& name) { config_.zones.push_back({name, "r", {}}); }

  NodeSettings& AddNode(const std::string& name, const std::string& zone) {
    NodeSettings settings;
    settings.node = name;
    settings.zone = zone;
    settings.loops = 2;
    settings.callers = FreeEndpoint();
    settings.operators = FreeEndpoint();
    settings.peers = FreeEndpoint();
    settings.peer_keys.current = {1, "0123456789abcdef0123456789abcdef"};
    settings.drain_time = std::chrono::milliseconds(0);
    settings_.push_back(settings);
    return settings_.back();
  }

  standins::BackendStandin& AddBackend(const std::string& name, const std::string& zone,
                                       const standins::HeldVersions& versions,
                                       standins::BackendOptions options = {}) {
    backends_.push_back(std::make_unique<standins::BackendStandin>(
        loop_, name, Endpoint{"127.0.0.1", 0}, options, versions));
    (void)backends_.back()->Start();
    BackendServer server;
    server.name = name;
    server.zone = zone;
    server.endpoint = backends_.back()->endpoint();
    server.slots = options.slots;
    server.cold_slots = 1;
    server.connections = 20;
    pending_.push_back(server);
    return *backends_.back();
  }

  /// Declares a service of all backend servers added since the last one, with a front of its name.
  void AddService(const std::string& name) {
    Service service;
    service.name = name;
    service.customer = "test";
    service.warm_up = std::chrono::milliseconds(0);
    service.backends = std::move(pending_);
    pending_.clear();
    config_.services.push_back(service);
    config_.fronts.push_back({name, name, std::chrono::milliseconds(5000), {}});
  }

  /// Starts all nodes with the present configuration.
  absl::Status Start() {
    Roster roster;
    roster.revision = 1;
    Incarnation incarnation = 100;
    for (const NodeSettings& settings : settings_) {
      roster.seats.push_back({settings.node, settings.zone, settings.peers, incarnation});
      nodes_.push_back(std::make_unique<EntryNode>(settings, incarnation++));
      absl::Status status = nodes_.back()->Start();
      if (!status.ok()) return status;
    }
    for (auto& node : nodes_) {
      node->InstallRoster(roster);
      node->InstallConfig(config_);
    }
    return absl::OkStatus();
  }

  /// Starts all nodes with the present configuration; their seats come from the platform's store,
  /// and they join through the first node.
  absl::Status StartWithStore(const Endpoint& platform) {
    for (NodeSettings& settings : settings_) {
      settings.store = platform;
      settings.operator_token = "test-operator-token";
      settings.seeds = {settings_.front().peers};
      nodes_.push_back(nullptr);
      absl::Status status = StartNode(nodes_.size() - 1);
      if (!status.ok()) return status;
    }
    return absl::OkStatus();
  }

  /// For all nodes; before they start.
  void SetLongestCall(std::chrono::milliseconds longest_call) {
    for (NodeSettings& settings : settings_) settings.longest_call = longest_call;
  }

  /// Starts a process of the node after `RemoveNode`, with a greater incarnation.
  absl::Status StartNode(std::size_t index) {
    nodes_[index] = std::make_unique<EntryNode>(settings_[index], next_incarnation_++);
    absl::Status status = nodes_[index]->Start();
    if (status.ok()) nodes_[index]->InstallConfig(config_);
    return status;
  }

  /// Installs the next revision of the configuration after `change` was applied to it.
  template <typename Change>
  void Reconfigure(Change change) {
    change(config_);
    ++config_.revision;
    for (auto& node : nodes_) node->InstallConfig(config_);
  }

  HttpCallResult Query(std::size_t node, const std::string& front, const std::string& body) {
    return HttpCall(settings_[node].callers, "POST", "/v1/fronts/" + front + "/query", body);
  }

  /// Whether a query through the node is answered with full coverage.
  bool AnswersFully(std::size_t node, const std::string& front) {
    HttpCallResult result = Query(node, front, R"({"query":{},"deadline_ms":2000})");
    return result.status == 200 && result.body.find("\"partial\":false") != std::string::npos;
  }

  EntryNode& node(std::size_t index) { return *nodes_[index]; }
  void RemoveNode(std::size_t index) { nodes_[index].reset(); }
  const NodeSettings& settings(std::size_t index) const { return settings_[index]; }
  standins::BackendStandin& backend(std::size_t index) { return *backends_[index]; }
  std::size_t backend_count() const { return backends_.size(); }
  const ConfigDocument& config() const { return config_; }

 private:
  standins::Loop loop_;
  std::vector<std::unique_ptr<standins::BackendStandin>> backends_;
  std::vector<BackendServer> pending_;
  ConfigDocument config_;
  std::vector<NodeSettings> settings_;
  std::vector<std::unique_ptr<EntryNode>> nodes_;
  Incarnation next_incarnation_ = 1000;
};

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_CLUSTER_H_
