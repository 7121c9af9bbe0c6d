#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "damaskroute/roster/roster_codec.h"
#include "damaskroute/store/http_store.h"
#include "damaskroute/store/http_threads.h"
#include "fmt/format.h"
#include "standins/platform_standin.h"
#include "tests/support/cluster.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using testing::Cluster;
using testing::HttpCall;
using testing::WaitFor;

// A roster change takes a join delay, a release and a claim, which under the sanitizers can take
// longer than `WaitFor` allows.
template <typename Condition>
bool WaitLong(Condition condition) {
  return WaitFor(condition) || WaitFor(condition) || WaitFor(condition);
}

constexpr int kSlots = 4;
constexpr int kBackends = 4;

// One zone with three nodes and two replicas of each half of the index, with a store.
struct Deployment {
  Deployment() {
    InitializeHttpThreads();
    REQUIRE(platform.Start().ok());
    cluster.AddZone("a");
    for (const char* node : {"node-0", "node-1", "node-2"}) {
      NodeSettings& settings = cluster.AddNode(node, "a");
      settings.drain_time = milliseconds(300);
      settings.backends_per_node = 1;  // All nodes are holders.
    }
    standins::BackendOptions options;
    options.slots = kSlots;
    options.queue_length = 100;
    options.service_time = milliseconds(2);
    std::uint64_t half = kKeySpaceSize / 2;
    for (int replica = 0; replica < 2; ++replica) {
      cluster.AddBackend(fmt::format("low-{}", replica), "a", {{1, {{0, half}}}}, options);
      cluster.AddBackend(fmt::format("high-{}", replica), "a", {{1, {{half, kKeySpaceSize}}}},
                         options);
    }
    cluster.AddService("desk");
  }

  void Start() {
    REQUIRE(cluster.StartWithStore(platform.endpoint()).ok());
    for (std::size_t node : {0, 1, 2}) {
      REQUIRE(WaitLong([&] { return cluster.AnswersFully(node, "desk"); }));
    }
    REQUIRE(WaitLong([&] { return RosterEntries().size() == 3; }));
  }

  std::vector<RosterEntry> RosterEntries() {
    auto stored = HttpStore(platform.endpoint(), milliseconds(5000)).Get(kRosterKey);
    if (!stored.ok()) return {};
    return DecodeRoster(stored->value).value().node_entries;
  }

  int HeldSlots(const std::vector<std::size_t>& nodes) {
    int total = 0;
    for (std::size_t node : nodes) total += cluster.node(node).HeldSlots();
    return total;
  }

  // Peak number of concurrent calls of the backend server where it is lowest.
  std::uint64_t MinPeakConcurrency() {
    std::uint64_t lowest = kSlots;
    for (std::size_t i = 0; i < cluster.backend_count(); ++i) {
      lowest = std::min(lowest, cluster.backend(i).Stats().max_concurrent_warm);
    }
    return lowest;
  }

  void QueryFromManyCallers() {
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 48; ++i) {
      callers.emplace_back([this, i] {
        for (int j = 0; j < 5; ++j) cluster.AnswersFully(i % 3, "desk");
      });
    }
    for (std::thread& caller : callers) caller.join();
  }

  standins::LoopThread loop;
  standins::PlatformStandin platform{loop, {"127.0.0.1", 0}, {}};
  Cluster cluster;
};

// Sends queries through the given nodes in turn, one at a time, until it is stopped.
class QueryStream {
 public:
  QueryStream(Cluster& cluster, std::vector<std::size_t> nodes)
      : thread_([this, &cluster, nodes] {
          for (std::size_t i = 0; !stop_; ++i) {
            ++sent_;
            if (!cluster.AnswersFully(nodes[i % nodes.size()], "desk")) ++failed_;
          }
        }) {}
  ~QueryStream() { Stop(); }

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int sent() const { return sent_; }
  int failed() const { return failed_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> failed_{0};
  std::thread thread_;
};

TEST_CASE("a graceful restart fails no query, and all shares are in use again after it") {
  Deployment deployment;
  Cluster& cluster = deployment.cluster;
  deployment.Start();
  REQUIRE(WaitLong([&] { return deployment.HeldSlots({0, 1, 2}) == kSlots * kBackends; }));
  REQUIRE(cluster.node(2).HeldSlots() > 0);
  QueryStream others(cluster, {0, 1});
  std::atomic<int> failed_through_leaving{0};
  std::thread through_leaving([&] {
    const Endpoint& callers = cluster.settings(2).callers;
    while (HttpCall(callers, "GET", "/readyz").status == 200) {
      if (!cluster.AnswersFully(2, "desk")) ++failed_through_leaving;
    }
  });
  cluster.node(2).Drain();
  through_leaving.join();
  // The roster entry is removed and the shares are handed over before the process ends.
  CHECK(deployment.RosterEntries().size() == 2);
  CHECK(cluster.node(2).HeldSlots() == 0);
  cluster.RemoveNode(2);
  CHECK(WaitLong([&] { return deployment.HeldSlots({0, 1}) == kSlots * kBackends; }));
  REQUIRE(cluster.StartNode(2).ok());
  REQUIRE(WaitLong([&] {
    return cluster.node(2).HeldSlots() > 0 && deployment.HeldSlots({0, 1, 2}) == kSlots * kBackends;
  }));
  others.Stop();
  CHECK(others.sent() > 0);
  CHECK(others.failed() == 0);
  CHECK(failed_through_leaving == 0);
  // A backend server runs as many calls at once as it has slots only if both holders send work.
  REQUIRE(deployment.MinPeakConcurrency() < kSlots);
  CHECK(WaitLong([&] {
    deployment.QueryFromManyCallers();
    return deployment.MinPeakConcurrency() == kSlots;
  }));
}

TEST_CASE("a drain ends and fails no query although the store is down") {
  Deployment deployment;
  Cluster& cluster = deployment.cluster;
  deployment.Start();
  REQUIRE(WaitLong([&] { return deployment.HeldSlots({0, 1, 2}) == kSlots * kBackends; }));
  REQUIRE(cluster.node(2).HeldSlots() > 0);
  QueryStream others(cluster, {0, 1});
  REQUIRE(deployment.platform.Control(R"({"refuse":true})").ok());
  std::thread first([&] { cluster.node(2).Drain(); });
  // A second drain has no effect.
  cluster.node(2).Drain();
  first.join();
  cluster.RemoveNode(2);
  CHECK(cluster.AnswersFully(0, "desk"));
  others.Stop();
  CHECK(others.failed() == 0);
  REQUIRE(deployment.platform.Control(R"({"refuse":false})").ok());
  // The roster entry is still there, and no other node uses the node's shares.
  REQUIRE(WaitLong([&] { return deployment.RosterEntries().size() == 3; }));
  CHECK(deployment.HeldSlots({0, 1}) < kSlots * kBackends);
}

TEST_CASE("the roster entry of a removed VM is removed, and its shares are used again") {
  Deployment deployment;
  Cluster& cluster = deployment.cluster;
  cluster.SetLongestCall(milliseconds(1000));
  deployment.Start();
  REQUIRE(WaitLong([&] { return deployment.HeldSlots({0, 1, 2}) == kSlots * kBackends; }));
  std::string vms;
  for (std::size_t i : {0, 1}) {
    vms += fmt::format(R"({}{{"name":"{}","address":"127.0.0.1","zone":"a","state":"live"}})",
                       i == 0 ? "" : ",", cluster.settings(i).node);
  }
  REQUIRE(cluster.node(2).HeldSlots() > 0);
  cluster.RemoveNode(2);
  CHECK(deployment.RosterEntries().size() == 3);
  REQUIRE(deployment.platform.Control(fmt::format(R"({{"vms":[{}]}})", vms)).ok());
  CHECK(WaitLong([&] { return deployment.RosterEntries().size() == 2; }));
  CHECK(WaitLong([&] { return deployment.HeldSlots({0, 1}) == kSlots * kBackends; }));
}

TEST_CASE(
    "a call to a backend server ends after the longest call, whatever the caller's deadline") {
  // Other nodes take over the shares of a dead node after that time.
  Cluster cluster;
  cluster.AddZone("a");
  cluster.AddNode("node-0", "a");
  cluster.AddNode("node-1", "a");
  standins::BackendOptions options;
  options.service_time = std::chrono::seconds(600);
  options.ignore_deadline = true;
  cluster.AddBackend("all", "a", {{1, {{0, kKeySpaceSize}}}}, options);
  cluster.AddService("desk");
  cluster.SetLongestCall(milliseconds(1000));
  REQUIRE(cluster.Start().ok());
  auto running = [&] { return cluster.backend(0).Stats().ran; };
  std::atomic<bool> answered{false};
  // A query that arrives before the node knows the backend server is refused at once, so it is
  // retried.
  std::thread caller([&] {
    while (running() == 0) {
      cluster.Query(0, "desk", R"({"query":{},"deadline_ms":60000})");
    }
    answered = true;
  });
  // The attempts end in a few seconds, not after the minute that the caller allows.
  CHECK(WaitLong([&] { return answered.load(); }));
  // No call is still running at the backend server; each was cancelled or lost its connection.
  CHECK(WaitLong([&] {
    standins::BackendStats stats = cluster.backend(0).Stats();
    return stats.ran > 0 && stats.cancelled + stats.disconnected == stats.ran;
  }));
  caller.join();
}

}  // namespace
}  // namespace damaskroute
