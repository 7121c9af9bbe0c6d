#include <doctest/doctest.h>
#include <rapidjson/document.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "tests/support/platform_fixture.h"

// Rollouts on real nodes with stand-ins for the store and the servers, and a ledger of what each
// version got.

namespace damaskroute {
namespace {

using platform::ServerMode;
using std::chrono::milliseconds;

constexpr int kNodes = 3;
constexpr int kServersPerVersion = 4;
const std::string kOrderKey = platform::kRolloutOrderPrefix + std::string("desk");
const std::string kStatusKey = platform::kRolloutStatusPrefix + std::string("desk");

class RolloutFleet {
 public:
  RolloutFleet() {
    store_.Write(platform::kConfigKey, PlatformFixture::Config(1));
    for (int i = 0; i < kServersPerVersion; ++i) AddServer("old", "v1", i);
    for (int i = 0; i < kNodes; ++i) AddNode();
  }

  ~RolloutFleet() {
    StopLoad();
    while (!nodes_.empty()) StopNode(0);
  }

  platform::ServerStandin& AddServer(const std::string& prefix, const std::string& version,
                                     int index) {
    std::string id = fmt::format("{}-{}", prefix, index);
    auto server = std::make_unique<platform::ServerStandin>(loop_, id);
    server->SetVersion(version);
    store_.Write(platform::kServerPrefix + id, server->Entry("desk", "a"));
    servers_[version].push_back(std::move(server));
    return *servers_[version].back();
  }

  void AddNode() {
    auto node = std::make_unique<RunningNode>();
    ForwardNodeSettings& settings = node->settings;
    settings.node = fmt::format("node-{}", next_node_++);
    settings.zone = "a";
    settings.callers = standins::NonEphemeralEndpoint();
    settings.ready = standins::NonEphemeralEndpoint();
    settings.metrics = standins::NonEphemeralEndpoint();
    settings.ready_path = platform::kReadyPath;
    settings.store = store_.endpoint();
    settings.budget_slack = 1000;
    settings.drain_bound = milliseconds(500);
    settings.rollout = RolloutBounds{0.1, 50, milliseconds(5000)};
    auto reload = [settings] { return absl::StatusOr<ForwardNodeSettings>(settings); };
    node->node = std::make_unique<ForwardNode<platform::Platform>>(node->loop, settings,
                                                                   platform::Platform(), reload);
    REQUIRE(node->node->Start().ok());
    node->thread = std::thread([&loop = node->loop] { loop.run(); });
    Endpoint ready = settings.ready;
    nodes_.push_back(std::move(node));
    REQUIRE(PlatformFixture::Await(
        [ready] { return HttpTestClient(ready).Call("GET", platform::kReadyPath).status == 200; }));
  }

  /// Ends a node at once, as SIGKILL does.
  void StopNode(std::size_t index) {
    nodes_[index]->loop.stop();
    nodes_[index]->thread.join();
    nodes_.erase(nodes_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  /// Sends requests to all nodes until `StopLoad`.
  void StartLoad() {
    for (const auto& node : nodes_) {
      load_.emplace_back([this, callers = node->settings.callers] {
        for (int i = 0; !stop_load_; ++i) {
          HttpTestClient client(callers);
          client.SendRaw(PlatformFixture::Render("GET", "/one/x", fmt::format("r-{}", i)));
          ++(client.Receive().status == 200 ? answered_ : failed_);
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
  }

  void StopLoad() {
    stop_load_ = true;
    for (std::thread& thread : load_) thread.join();
    load_.clear();
  }

  void Order(const std::string& version, int seconds) {
    store_.Write(kOrderKey,
                 fmt::format(R"({{"service":"desk","targetVersion":"{}","durationS":{}}})", version,
                             seconds));
  }

  std::string Status() {
    rapidjson::Document document;
    std::string text = store_.ValueOf(kStatusKey);
    document.Parse(text.c_str(), text.size());
    return document.IsObject() ? document["state"].GetString() : "";
  }

  bool AwaitStatus(const std::string& state) {
    return PlatformFixture::Await([&] { return Status() == state; });
  }

  /// Requests that arrived at all servers of a version.
  std::size_t ArrivalsOf(const std::string& version) const {
    std::size_t count = 0;
    for (const auto& server : servers_.at(version)) count += server->arrivals().size();
    return count;
  }

  std::string State(std::size_t index) {
    return HttpTestClient(*nodes_[index]->settings.metrics).Call("GET", "/v1/beliefs").body;
  }

  platform::StoreStandin& store() { return store_; }
  std::vector<std::unique_ptr<platform::ServerStandin>>& servers(const std::string& version) {
    return servers_[version];
  }
  int failed() const { return failed_; }
  int answered() const { return answered_; }

 private:
  struct RunningNode {
    asio::io_context loop{1};
    ForwardNodeSettings settings;
    std::unique_ptr<ForwardNode<platform::Platform>> node;
    std::thread thread;
  };

  standins::LoopThread loop_;
  platform::StoreStandin store_{loop_};
  std::map<std::string, std::vector<std::unique_ptr<platform::ServerStandin>>> servers_;
  std::vector<std::unique_ptr<RunningNode>> nodes_;
  int next_node_ = 1;
  std::vector<std::thread> load_;
  std::atomic<bool> stop_load_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> failed_ = 0;
};

// Guards against a good version that is not promoted, against calls to old servers after
// `succeeded` was stored, when they stop without draining, and against a node that starts later and
// does not know the decision.
TEST_CASE("a good version gets all calls in the end, and no request fails") {
  RolloutFleet fleet;
  fleet.Order("v2", 8);
  for (int i = 0; i < kServersPerVersion; ++i) fleet.AddServer("new", "v2", i);
  fleet.StartLoad();
  REQUIRE(fleet.AwaitStatus("succeeded"));
  std::size_t old_calls = fleet.ArrivalsOf("v1");
  for (auto& server : fleet.servers("v1")) server->Crash();
  std::size_t new_calls = fleet.ArrivalsOf("v2");
  CHECK(PlatformFixture::Await([&] { return fleet.ArrivalsOf("v2") > new_calls + 50; }));
  fleet.StopLoad();
  CHECK(fleet.ArrivalsOf("v1") == old_calls);
  CHECK(fleet.failed() == 0);
  fleet.AddNode();
  fleet.StartLoad();
  CHECK(fleet.State(kNodes).find("\"state\":\"succeeded\"") != std::string::npos);
}

// Guards against a bad version that stays in use: on the nodes that saw it, on a node that starts
// after the decision, and on new servers of the version.
TEST_CASE("a bad version gets its share at most, and nothing after it was rolled back") {
  RolloutFleet fleet;
  fleet.Order("v2", 30);
  for (int i = 0; i < kServersPerVersion; ++i) {
    fleet.AddServer("new", "v2", i).SetMode(ServerMode::kError);
  }
  fleet.StartLoad();
  REQUIRE(fleet.AwaitStatus("rolled_back"));
  std::size_t bad_calls = fleet.ArrivalsOf("v2");
  std::size_t all_calls = bad_calls + fleet.ArrivalsOf("v1");
  MESSAGE("the bad version got " << bad_calls << " of " << all_calls << " requests");
  CHECK(bad_calls > 0);
  CHECK(static_cast<double>(bad_calls) <= 0.1 * static_cast<double>(all_calls) + 50);
  fleet.StopNode(0);
  fleet.AddNode();
  fleet.AddServer("newer", "v2", 9);
  std::size_t old_calls = fleet.ArrivalsOf("v1");
  CHECK(PlatformFixture::Await([&] { return fleet.ArrivalsOf("v1") > old_calls + 100; }));
  CHECK(fleet.ArrivalsOf("v2") == bad_calls);
  CHECK(fleet.State(0).find("\"state\":\"rolled_back\"") != std::string::npos);
}

// Guards against calls, keys and state of rollouts without an order, and against an unusable order
// that has an effect.
TEST_CASE("without a usable order nothing is written and all versions are equal") {
  RolloutFleet fleet;
  for (int i = 0; i < kServersPerVersion; ++i) fleet.AddServer("new", "v2", i);
  fleet.StartLoad();
  CHECK(PlatformFixture::Await(
      [&] { return fleet.ArrivalsOf("v1") > 20 && fleet.ArrivalsOf("v2") > 20; }));
  for (const char* order : {"{", R"({"service":"desk","targetVersion":"v2","durationS":-1})",
                            R"({"service":"desk","targetVersion":7,"durationS":9})",
                            R"({"service":"other","targetVersion":"v2","durationS":9})",
                            R"({"service":"desk","targetVersion":"v2","durationS":1e12})"}) {
    fleet.store().Write(kOrderKey, order);
  }
  std::size_t calls = fleet.ArrivalsOf("v2");
  CHECK(PlatformFixture::Await([&] { return fleet.ArrivalsOf("v2") > calls + 50; }));
  CHECK(fleet.Status().empty());
  CHECK_FALSE(fleet.store().Has(platform::kRolloutPrefix + std::string("desk")));
  CHECK(fleet.State(0).find("rollouts") == std::string::npos);
}

}  // namespace
}  // namespace damaskroute
