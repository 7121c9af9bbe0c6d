#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/log/log_line.h"
#include "fmt/format.h"
#include "tests/support/caller.h"
#include "tests/support/cluster.h"

namespace damaskroute {
namespace {

using testing::Caller;
using testing::Cluster;
using testing::HttpCall;
using testing::HttpCallResult;
using testing::WaitFor;

constexpr KeyRange kLow{0, kKeySpaceSize / 2};
constexpr KeyRange kHigh{kKeySpaceSize / 2, kKeySpaceSize};
constexpr std::size_t kNodes = 5;

constexpr int kBackends = 6;

// Zone a has three nodes, of which at most two are readers, so one gets updates from peers only.
void StartCluster(Cluster& cluster, standins::BackendOptions options = {}) {
  SetLogLevel(LogLevel::kError);
  options.records = 20;
  cluster.UseStore();
  for (const char* zone : {"a", "b", "c"}) cluster.AddZone(zone);
  for (const char* node : {"node-a1", "node-a2", "node-a3"}) cluster.AddNode(node, "a");
  cluster.AddNode("node-b", "b").drain_time = std::chrono::milliseconds(500);
  cluster.AddNode("node-c", "c");
  for (const std::string zone : {"a", "b", "c"}) {
    cluster.AddBackend(zone + "-low", zone, {{1, {kLow}}}, options);
    cluster.AddBackend(zone + "-high", zone, {{1, {kHigh}}}, options);
  }
  cluster.AddService("desk");
  REQUIRE(cluster.Start().ok());
  for (std::size_t node = 0; node < kNodes; ++node) {
    REQUIRE(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
  // Wait until all roster entries are present, so that no share moves while a test runs, and all
  // shares are held. A share that is still being claimed stays unused while one of the nodes cannot
  // promise it, and a restarted node has no roster entry until the store is reachable again.
  REQUIRE(WaitFor([&] {
    int held = 0;
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (cluster.node(node).view()->roster.node_entries.size() != kNodes) return false;
      held += cluster.node(node).HeldSlots();
    }
    return held == kBackends * options.slots;
  }));
}

// Checks that no node installed a revision twice or after a greater one.
void CheckNoReversion(Cluster& cluster) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    std::vector<Revision> installed = cluster.Installed(node);
    for (std::size_t i = 1; i < installed.size(); ++i) CHECK(installed[i - 1] < installed[i]);
  }
}

void SetDeadline(ConfigDocument& config, int milliseconds) {
  config.fronts[0].default_deadline = std::chrono::milliseconds(milliseconds);
}

// Sends queries through nodes that report being ready, as a load balancer does. Counts complete
// responses (`full`), calls without a response, and all other responses.
class BalancedLoad {
 public:
  explicit BalancedLoad(Cluster& cluster, int threads = 6) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      callers_.push_back(cluster.settings(node).callers);
      ready_[node] = true;
    }
    prober_ = std::thread([this] {
      while (!stop_) {
        for (std::size_t node = 0; node < kNodes; ++node) {
          ready_[node] = HttpCall(callers_[node], "GET", "/readyz").status == 200;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~BalancedLoad() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    if (prober_.joinable()) prober_.join();
  }

  int full() const { return full_; }
  int other() const { return other_; }
  int no_response() const { return no_response_; }

  std::string examples() {
    std::lock_guard lock(mutex_);
    return examples_;
  }

 private:
  void Run(int thread) {
    Caller caller;
    for (int n = thread; !stop_ && n < 60'000; ++n) {
      std::size_t node = static_cast<std::size_t>(n) % kNodes;
      if (!ready_[node]) continue;
      HttpCallResult result = caller.Post(callers_[node], "/v1/fronts/desk/query",
                                          R"({"query":{},"deadline_ms":2000})");
      bool is_full =
          result.status == 200 && result.body.find("\"partial\":false") != std::string::npos;
      ++(is_full ? full_ : result.status == 0 ? no_response_ : other_);
      if (is_full) continue;
      std::lock_guard lock(mutex_);
      if (examples_.size() < 1000) {
        examples_ +=
            fmt::format("node {}: {} {}\n", node, result.status, result.body.substr(0, 200));
      }
    }
  }

  std::vector<Endpoint> callers_;
  std::array<std::atomic<bool>, kNodes> ready_;
  std::atomic<bool> stop_{false};
  std::atomic<int> full_{0};
  std::atomic<int> other_{0};
  std::atomic<int> no_response_{0};
  std::mutex mutex_;
  std::string examples_;
  std::thread prober_;
  std::vector<std::thread> threads_;
};

// Guards against a change that is lost, applied twice or reverted when the store fails.
TEST_CASE("an accepted configuration is in force everywhere after faults of the store") {
  Cluster cluster;
  StartCluster(cluster);
  struct Row {
    const char* begin;
    const char* end;
  };
  const Row rows[] = {
      {R"({"refuse":true})", R"({"refuse":false})"},
      {R"({"silent":true})", R"({"silent":false})"},
      {R"({"delay":"200ms"})", R"({"delay":"0ms"})"},
      {R"({"lose_next":3})", R"({"lose_next":0})"},
      {R"({"silence_next":2})", R"({"silence_next":0})"},
      {R"({"reset_next":3})", R"({"reset_next":0})"},
      {R"({"lose_probability":0.5})", R"({"lose_probability":0})"},
  };
  int deadline = 3000;
  for (const Row& row : rows) {
    INFO(row.begin);
    REQUIRE(cluster.platform().Control(row.begin).ok());
    CommitOutcome outcome;
    std::thread commit([&] {
      outcome = cluster.Commit([&](ConfigDocument& config) { SetDeadline(config, ++deadline); });
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    REQUIRE(cluster.platform().Control(row.end).ok());
    commit.join();
    CHECK_MESSAGE(outcome.result == CommitResult::kCommitted, outcome.detail);
    CHECK(WaitFor([&] { return cluster.AllNodesUpToDate(); }));
  }
  CheckNoReversion(cluster);
}

// Guards against a node that stays behind after a partition, and against a restored store that
// reverts the configuration in force.
TEST_CASE("an isolated node catches up, and a restored store reverts nothing") {
  Cluster cluster;
  StartCluster(cluster);
  for (std::size_t node = 0; node < kNodes; ++node) {
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (i != node) others.push_back(i);
    }
    cluster.PartitionNodes({node}, others);
    CommitOutcome outcome = cluster.Commit(
        [&](ConfigDocument& config) { SetDeadline(config, 4000 + static_cast<int>(node)); });
    CHECK(outcome.result == CommitResult::kCommitted);
    CHECK(WaitFor([&] {
      for (std::size_t i : others) {
        if (cluster.node(i).view()->config.revision != cluster.config().revision) return false;
      }
      return true;
    }));
    cluster.Heal();
    CHECK(WaitFor([&] { return cluster.AllNodesUpToDate(); }));
  }
  REQUIRE(cluster.platform().Control(R"({"backup":true})").ok());
  CHECK(cluster.Commit([](ConfigDocument& config) { SetDeadline(config, 4999); }).result ==
        CommitResult::kCommitted);
  CHECK(WaitFor([&] { return cluster.AllNodesUpToDate(); }));
  REQUIRE(cluster.platform().Control(R"({"restore":true})").ok());
  auto reads = [&] {
    auto stats = cluster.platform().Stats();
    return stats.reads + stats.watches;
  };
  std::uint64_t before = reads();
  REQUIRE(WaitFor([&] { return reads() >= before + 4; }));
  CHECK(cluster.AllNodesUpToDate());
  CheckNoReversion(cluster);
}

// Guards against a node that cannot start without the store although its peers are serving.
TEST_CASE("a restarted node starts from its peers while the store is down") {
  Cluster cluster;
  StartCluster(cluster);
  CHECK(cluster.Commit([](ConfigDocument& config) { SetDeadline(config, 3500); }).result ==
        CommitResult::kCommitted);
  CHECK(WaitFor([&] { return cluster.AllNodesUpToDate(); }));
  REQUIRE(cluster.platform().Control(R"({"refuse":true})").ok());
  for (std::size_t node : {2, 4}) {
    REQUIRE(cluster.RestartNode(node).ok());
    CHECK(WaitFor([&] { return cluster.AllNodesUpToDate(); }));
    CHECK(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
  }
  CheckNoReversion(cluster);
}

// Guards against a node without access to the store that keeps sending to a zone taken out of
// service.
TEST_CASE("a zone taken out of service gets no more calls from any node") {
  Cluster cluster;
  StartCluster(cluster);
  CommitOutcome outcome =
      cluster.Commit([](ConfigDocument& config) { config.zones[2].state = ZoneState::kOut; });
  REQUIRE(outcome.result == CommitResult::kCommitted);
  auto received = [&] {
    return cluster.backend(4).Stats().received + cluster.backend(5).Stats().received;
  };
  for (std::size_t node = 0; node < kNodes; ++node) {
    CHECK(WaitFor([&] {
      std::uint64_t before = received();
      for (int i = 0; i < 20; ++i) {
        if (!cluster.AnswersFully(node, "desk")) return false;
      }
      return received() == before;
    }));
  }
  CHECK(cluster.AllNodesUpToDate());
  std::uint64_t before = received();
  for (std::size_t node = 0; node < kNodes; ++node) CHECK(cluster.AnswersFully(node, "desk"));
  CHECK(received() == before);
}

// Guards against two holders that use the same share while roster entries change, and against a
// cold backend server that gets more calls than its cold limit.
TEST_CASE("no backend server gets more calls than its slots while nodes join and leave") {
  standins::BackendOptions options;
  options.slots = 3;
  options.service_time = std::chrono::milliseconds(2);
  options.starts_cold = true;
  options.cold_calls = 20;
  options.restart_delay = std::chrono::milliseconds(100);
  Cluster cluster;
  StartCluster(cluster, options);
  BalancedLoad load(cluster, 12);
  auto progress = [&](const char* step) {
    int before = load.full();
    bool progresses = WaitFor([&] { return load.full() >= before + 50; });
    INFO(step, ": ", load.full(), " full, ", load.other(), " others\n", load.examples());
    CHECK(progresses);
  };
  progress("start");
  REQUIRE(cluster.RestartNode(0).ok());
  progress("restart of a node");
  cluster.RemoveNode(1);
  REQUIRE(cluster.backend(0).Control(R"({"crash":true})").ok());
  progress("kill of a node, crash of a backend server");
  REQUIRE(cluster.StartNode(1).ok());
  progress("start of the killed node");
  REQUIRE(cluster.backend(2).Control(R"({"turn_cold":true})").ok());
  // Callers wait for the paused node, so the load continues only after the pause.
  cluster.node(2).Pause();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.node(2).Resume();
  progress("pause of a node");
  cluster.node(3).Drain();
  cluster.RemoveNode(3);
  progress("shutdown of a node");
  REQUIRE(cluster.StartNode(3).ok());
  progress("start after the shutdown");
  load.Stop();
  MESSAGE(load.full(), " full responses, ", load.other(), " others, ", load.no_response(),
          " without a response");
  for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
    standins::BackendStats stats = cluster.backend(i).Stats();
    INFO(cluster.backend(i).name());
    CHECK(stats.max_concurrent_warm <= 3);
    // A server that turns cold without notice, here the third one, may have running calls of both
    // holders (docs/guarantees.md).
    if (i != 2) {
      CHECK(stats.max_concurrent_cold <= 1);
      CHECK(stats.cold_overload == 0);
    }
  }
}

// Guards against aborted requests because the process ends before its callers, its peers or the
// backend servers are finished with it.
TEST_CASE("a graceful shutdown under load aborts no request") {
  standins::BackendOptions options;
  options.slots = 4;
  options.service_time = std::chrono::milliseconds(5);
  Cluster cluster;
  StartCluster(cluster, options);
  BalancedLoad load(cluster);
  for (int round = 0; round < 2; ++round) {
    int before = load.full();
    REQUIRE(WaitFor([&] { return load.full() >= before + 50; }));
    cluster.node(3).Drain();
    cluster.RemoveNode(3);
    before = load.full();
    REQUIRE(WaitFor([&] { return load.full() >= before + 50; }));
    REQUIRE(cluster.StartNode(3).ok());
  }
  load.Stop();
  MESSAGE(load.full(), " full responses, ", load.other(), " others, ", load.no_response(),
          " without a response\n", load.examples());
  CHECK(load.no_response() == 0);
  CHECK(load.other() == 0);
}

}  // namespace
}  // namespace damaskroute
