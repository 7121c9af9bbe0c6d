#ifndef DAMASKROUTE_TESTS_SUPPORT_CLUSTER_H_
#define DAMASKROUTE_TESTS_SUPPORT_CLUSTER_H_

#include <unistd.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/intent/config_log.h"
#include "damaskroute/node/entry_node.h"
#include "damaskroute/store/http_threads.h"
#include "rapidjson/document.h"
#include "standins/backend_standin.h"
#include "standins/loop_thread.h"
#include "standins/non_ephemeral_endpoint.h"
#include "standins/platform_standin.h"
#include "tests/support/http_call.h"

namespace damaskroute::testing {

/// Calls `condition` until it is true, for at most ten seconds. Only a failing test reaches the
/// limit.
template <typename Condition>
bool WaitFor(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// Entry nodes and stand-in backend servers in one process, over real sockets on loopback. The
/// configuration and the roster are installed directly or, with `UseStore`, read from a stand-in of
/// the platform.
class Cluster {
 public:
  Cluster() {
    config_.revision = 1;
    config_.change_id = "test";
  }

  ~Cluster() {
    // In parallel, because each node may wait for a store call until its timeout.
    std::vector<std::thread> threads;
    for (auto& node : nodes_) threads.emplace_back([&node] { node.reset(); });
    for (std::thread& thread : threads) thread.join();
    backends_.clear();
    platform_.reset();
  }

  /// Makes the configuration and the roster go through a store. Call before `AddNode`.
  standins::PlatformStandin& UseStore(const standins::PlatformOptions& options = {}) {
    InitializeHttpThreads();
    platform_ = std::make_unique<standins::PlatformStandin>(
        platform_loop_, standins::NonEphemeralEndpoint(), options);
    (void)platform_->Start();
    return *platform_;
  }

  void AddZone(const std::string& name) { config_.zones.push_back({name, "r", {}}); }

  NodeSettings& AddNode(const std::string& name, const std::string& zone) {
    NodeSettings settings;
    settings.node = name;
    settings.zone = zone;
    settings.loops = 2;
    settings.callers = standins::NonEphemeralEndpoint();
    settings.operators = standins::NonEphemeralEndpoint();
    settings.operator_token = "operators-secret-0123";
    settings.peers = standins::NonEphemeralEndpoint();
    if (platform_) settings.store = platform_->endpoint();
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

  /// Declares a service of all backend servers added since the last service, and a front of the
  /// same name.
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

  /// Starts all nodes with the current configuration. With `commit_first` false the store stays
  /// empty.
  absl::Status Start(bool commit_first = true) {
    nodes_.resize(settings_.size());
    incarnations_.resize(settings_.size());
    installed_ = std::vector<std::vector<Revision>>(settings_.size());
    if (platform_ && commit_first) {
      CommitOutcome outcome = Commit([](ConfigDocument&) {});
      if (outcome.result != CommitResult::kCommitted) return absl::UnavailableError(outcome.detail);
    }
    for (std::size_t i = 0; i < settings_.size(); ++i) {
      absl::Status status = StartNode(i, false);
      if (!status.ok()) return status;
    }
    return absl::OkStatus();
  }

  /// Starts all nodes with the current configuration; their roster entries come from the platform's
  /// store.
  absl::Status StartWithStore(const Endpoint& platform) {
    for (NodeSettings& settings : settings_) settings.store = platform;
    return Start();
  }

  /// Sets the longest call of all nodes. Call before `Start`.
  void SetLongestCall(std::chrono::milliseconds longest_call) {
    for (NodeSettings& settings : settings_) settings.longest_call = longest_call;
  }

  /// Starts a node that is not running, as a process with a new incarnation.
  absl::Status StartNode(std::size_t index, bool had_predecessor = true) {
    NodeSettings settings = settings_[index];
    for (const NodeSettings& other : settings_) {
      if (other.node != settings.node) settings.seeds.push_back(other.peers);
    }
    incarnations_[index] = next_incarnation_++;
    {
      std::lock_guard lock(installed_mutex_);
      installed_[index].clear();
    }
    auto node = std::make_unique<EntryNode>(settings, incarnations_[index]);
    node->SetOnConfigInstalled([this, index](Revision revision) {
      std::lock_guard lock(installed_mutex_);
      installed_[index].push_back(revision);
    });
    absl::Status status = node->Start();
    if (!status.ok()) return status;
    nodes_[index] = std::move(node);
    if (settings.store.port == 0) {
      InstallRoster();
      if (had_predecessor) nodes_[index]->InstallRoster(roster_, true);
    }
    if (!platform_) nodes_[index]->InstallConfig(config_);
    return absl::OkStatus();
  }

  /// Stops a node without a graceful shutdown and restarts it under the same name and ports.
  absl::Status RestartNode(std::size_t index) {
    RemoveNode(index);
    return StartNode(index);
  }

  /// Drops all messages between the two sets of nodes.
  void PartitionNodes(const std::vector<std::size_t>& left, const std::vector<std::size_t>& right) {
    PartitionOneWay(left, right);
    PartitionOneWay(right, left);
  }

  /// Ends all partitions.
  void Heal() {
    for (auto& node : nodes_) {
      if (node) node->PartitionFrom({});
    }
  }

  /// Commits the next revision to the store as the intent API does, retrying during an outage.
  template <typename Change>
  CommitOutcome Commit(Change change) {
    ConfigDocument next = config_;
    change(next);
    next.revision = committed_ + 1;
    next.change_id = "change-" + std::to_string(next.revision);
    CommitRequest request;
    request.base_revision = committed_;
    request.change_id = next.change_id;
    request.summary = "test";
    request.committed_at = std::chrono::system_clock::now();
    request.chunks = SplitChunks(*EncodeConfig(next));
    HttpStore store(platform_->endpoint(), std::chrono::milliseconds(500));
    CommitOutcome outcome = RunCommit(store, CommitResolver(request, 100), [](int) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    });
    if (outcome.result == CommitResult::kCommitted) {
      config_ = next;
      committed_ = next.revision;
    }
    return outcome;
  }

  /// Revisions that the current process of a node installed, in order.
  std::vector<Revision> Installed(std::size_t index) {
    std::lock_guard lock(installed_mutex_);
    return installed_[index];
  }

  /// Whether all running nodes have installed the latest configuration.
  bool AllNodesUpToDate() {
    for (auto& node : nodes_) {
      if (node && node->view()->config.revision != config_.revision) return false;
    }
    return true;
  }

  /// Installs the next revision of the configuration after `change` was applied to it.
  template <typename Change>
  void Reconfigure(Change change) {
    change(config_);
    ++config_.revision;
    for (auto& node : nodes_) {
      if (node) node->InstallConfig(config_);
    }
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
  bool runs(std::size_t index) const { return nodes_[index] != nullptr; }
  std::size_t node_count() const { return nodes_.size(); }

  /// Stops a node without a graceful shutdown.
  void RemoveNode(std::size_t index) { nodes_[index].reset(); }
  const NodeSettings& settings(std::size_t index) const { return settings_[index]; }
  standins::BackendStandin& backend(std::size_t index) { return *backends_[index]; }
  std::size_t backend_count() const { return backends_.size(); }
  const ConfigDocument& config() const { return config_; }
  standins::PlatformStandin& platform() { return *platform_; }

 private:
  void InstallRoster() {
    Roster roster;
    roster.revision = roster_.revision + 1;
    for (std::size_t i = 0; i < settings_.size(); ++i) {
      const NodeSettings& settings = settings_[i];
      if (incarnations_[i] == 0) continue;
      roster.node_entries.push_back(
          {settings.node, settings.zone, settings.peers, incarnations_[i]});
    }
    roster_ = roster;
    for (auto& node : nodes_) {
      if (node) node->InstallRoster(roster_);
    }
  }

  void PartitionOneWay(const std::vector<std::size_t>& from, const std::vector<std::size_t>& to) {
    std::set<Endpoint> peers;
    for (std::size_t index : to) peers.insert(settings_[index].peers);
    for (std::size_t index : from) {
      if (nodes_[index]) nodes_[index]->PartitionFrom(peers);
    }
  }

  standins::LoopThread loop_;
  standins::LoopThread platform_loop_;
  std::unique_ptr<standins::PlatformStandin> platform_;
  std::vector<std::unique_ptr<standins::BackendStandin>> backends_;
  std::vector<BackendServer> pending_;
  ConfigDocument config_;
  std::vector<NodeSettings> settings_;
  std::vector<Incarnation> incarnations_;
  Incarnation next_incarnation_ = 100;
  Roster roster_;
  Revision committed_ = 0;
  std::mutex installed_mutex_;
  std::vector<std::vector<Revision>> installed_;
  std::vector<std::unique_ptr<EntryNode>> nodes_;
};

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_CLUSTER_H_
