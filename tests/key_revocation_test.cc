#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <optional>

#include "damaskroute/core/boot_clock.h"
#include "tests/support/keyed_node.h"
#include "tests/support/relay_reader.h"

// Guards against requests that run with a key after the bound on its withdrawal. No case expects
// anything to happen within a time: a slow machine only makes a node refuse sooner.

namespace damaskroute {
namespace {

using platform::StoreMode;
using std::chrono::milliseconds;

constexpr milliseconds kBound{1500};
constexpr char kNewKey[] = "key-renewed";

// Withdraws the key while the node gets no answer from the store. Returns the time of the store's
// acknowledgement.
TimePoint WithdrawInSilence(KeyedNode& node) {
  node.store.SetMode(StoreMode::kUnresponsive);
  node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, kNewKey));
  return SteadyClock().Now();
}

// Sends requests with the withdrawn key until one is refused. None that was sent after the bound
// may run.
void CheckNoneRunsAfterBound(KeyedNode& node, TimePoint acknowledged) {
  std::optional<int> refused;
  while (!refused) {
    TimePoint sent = SteadyClock().Now();
    int status = node.GetWithKey("/one/x").status;
    if (status == 200) {
      REQUIRE(sent <= acknowledged + kBound);
    } else {
      refused = status;
    }
  }
  CHECK(*refused == 503);
  while (SteadyClock().Now() <= acknowledged + kBound) std::this_thread::yield();
  for (const char* target : {"/one/x", "/act/x", "/all/x"}) {
    CHECK(node.GetWithKey(target).status == 503);
    CHECK(node.Send(target, "").status == 401);
  }
  CHECK(node.Send("/new/x", "").status == 200);
}

// Ends the silence of the store.
void CheckWithdrawn(KeyedNode& node) {
  node.store.SetMode(StoreMode::kServe);
  CHECK(PlatformFixture::Await([&] { return node.GetWithKey("/one/x").status == 401; }));
  CHECK(PlatformFixture::Await([&] { return node.GetWithKey("/one/x", kNewKey).status == 200; }));
}

TEST_CASE("a key that is withdrawn while the store is silent does not run after the bound") {
  KeyedNode node(kBound);
  node.AddServers();
  REQUIRE(node.StartServing(4));
  REQUIRE(PlatformFixture::Await([&] { return node.GetWithKey("/one/x").status == 200; }));
  CheckNoneRunsAfterBound(node, WithdrawInSilence(node));
  CheckWithdrawn(node);
}

TEST_CASE("without a bound, keys stay in use while the store is silent") {
  KeyedNode node;
  node.AddServers();
  REQUIRE(node.StartServing(4));
  TimePoint acknowledged = WithdrawInSilence(node);
  while (SteadyClock().Now() <= acknowledged + kBound) std::this_thread::yield();
  CHECK(node.GetWithKey("/one/x").status == 200);
}

TEST_CASE("a node that is restarted while the store is silent runs nothing") {
  KeyedNode node(kBound);
  node.AddServers();
  REQUIRE(node.StartServing(4));
  node.StopNode();
  WithdrawInSilence(node);
  node.StartNode();
  REQUIRE(node.ReadyStatus() == 503);
  CHECK(node.GetWithKey("/one/x").status == 503);
  CheckWithdrawn(node);
}

TEST_CASE(
    "an unusable configuration stops keys after the bound, and the next usable one does not") {
  KeyedNode node(kBound);
  node.AddServers();
  REQUIRE(node.StartServing(4));
  node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, KeyedNode::kOtherKey));
  CheckNoneRunsAfterBound(node, SteadyClock().Now());
  node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(3, kNewKey));
  CheckWithdrawn(node);
}

TEST_CASE("a configuration that is not installed because of its version stops keys") {
  // Guards against withdrawn keys that stay in use, as the withdrawal has a version given out
  // before, for example after a restore of the store.
  for (int version : {2, 1}) {
    KeyedNode node(kBound);
    node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, KeyedNode::kKey));
    node.AddServers();
    REQUIRE(node.StartServing(4));
    REQUIRE(PlatformFixture::Await([&] { return node.RoutesVersion() == 2; }));
    node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(version, kNewKey));
    CheckNoneRunsAfterBound(node, SteadyClock().Now());
    node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(3, kNewKey));
    CheckWithdrawn(node);
  }
}

TEST_CASE("keys are in use again after an unusable configuration was removed unseen") {
  // Guards against keyed requests that are refused until the next configuration is written.
  KeyedNode node(kBound);
  node.store.Remove(platform::kConfigKey);
  node.AddServers();
  node.store.TakeCopy();
  node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(1, KeyedNode::kKey));
  REQUIRE(node.StartServing(4));
  node.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, KeyedNode::kOtherKey));
  CheckNoneRunsAfterBound(node, SteadyClock().Now());
  node.store.Restore();
  CHECK(PlatformFixture::Await([&] { return node.GetWithKey("/one/x").status == 200; }));
}

// Blocks the event loop of a node, as a stopped process does.
struct Pause {
  explicit Pause(KeyedNode& node) {
    asio::post(*node.node_loop, [this] {
      begun.set_value();
      released.get_future().wait();
    });
    begun.get_future().wait();
  }
  void End() { released.set_value(); }

  std::promise<void> begun;
  std::promise<void> released;
};

std::int64_t Stated(KeyedNode& node, const std::string& name) {
  std::string page = node.Page("/v1/beliefs");
  std::size_t at = page.find('"' + name + "\":");
  return at == std::string::npos ? -1 : std::stoll(page.substr(at + name.size() + 3));
}

// The time since the response was received, which counted before, is near zero here.
TEST_CASE("a response that waited in a socket buffer does not make the configuration young") {
  KeyedNode node(kBound);
  node.AddServers();
  REQUIRE(node.StartServing(4));
  REQUIRE(PlatformFixture::Await([&] { return node.store.pending_watches() == 1; }));
  Pause pause(node);
  // The store responds to the last watch that the node sent; the node does not read the response.
  REQUIRE(PlatformFixture::Await([&] { return node.store.pending_watches() == 0; }));
  TimePoint acknowledged = WithdrawInSilence(node);
  while (SteadyClock().Now() <= acknowledged + kBound) std::this_thread::yield();
  HttpTestClient client(node.settings.callers);
  client.SendRaw(KeyedNode::RenderWith("/one/x", "Authorization: Token key-acme\r\n"));
  pause.End();
  CHECK(client.Receive().status == 503);
  CHECK(Stated(node, "configuration_age_ms") > kBound.count());
  CHECK(Stated(node, "store_confirmed_ms") < Stated(node, "configuration_age_ms"));
  CheckWithdrawn(node);
}

// A node that follows other nodes, whose changes are as of `certain_until`. They claim that the
// store has just confirmed their changes.
struct Follower {
  explicit Follower(std::function<std::optional<Duration>()> certain_until) {
    readers = MakeReaders(node, [this] {
      ++responses;
      return Duration::zero();
    });
    for (auto& reader : readers) {
      node.loop.Run([&] { reader->relay->SetCertainUntil(certain_until); });
    }
    node.AddServers();
  }

  bool Start() {
    return node.StartServing(4) &&
           PlatformFixture::Await([&] { return node.GetWithKey("/one/x").status == 200; }) &&
           PlatformFixture::Await([&] { return responses > 0; });
  }

  KeyedNode node{kBound};
  std::atomic<int> responses{0};
  std::vector<std::unique_ptr<RelayReader>> readers;
};

// The followed nodes respond as those of an earlier build, which does not state the age.
TEST_CASE("a key does not run after the bound at a node that follows nodes of an earlier build") {
  Follower follower([] { return std::nullopt; });
  REQUIRE(follower.Start());
  CheckNoneRunsAfterBound(follower.node, WithdrawInSilence(follower.node));
  CheckWithdrawn(follower.node);
}

TEST_CASE("a key does not run after the bound at a node whose followed nodes lost the store") {
  Duration lost = TimeSinceBoot();
  Follower follower([lost] { return lost; });
  REQUIRE(follower.Start());
  CheckNoneRunsAfterBound(follower.node, WithdrawInSilence(follower.node));
  CheckWithdrawn(follower.node);
}

TEST_CASE("a followed node that reaches the store keeps the keys of its followers in use") {
  std::atomic<bool> reached{true};
  Duration start = TimeSinceBoot();
  Follower follower([&] { return reached ? TimeSinceBoot() : start; });
  REQUIRE(follower.Start());
  TimePoint acknowledged = WithdrawInSilence(follower.node);
  while (SteadyClock().Now() <= acknowledged + kBound) std::this_thread::yield();
  CHECK(PlatformFixture::Await([&] { return follower.node.GetWithKey("/one/x").status == 200; }));
  // The withdrawal arrives through a followed node.
  for (auto& reader : follower.readers) {
    reader->Announce({platform::kConfigKey, KeyedNode::KeyedConfig(2, kNewKey), 1000, false});
  }
  CHECK(PlatformFixture::Await([&] { return follower.node.GetWithKey("/one/x").status == 401; }));
}

TEST_CASE("a request that is too late for this node's keys runs at a node that knows more") {
  KeyedNode helper(kBound);
  helper.settings.peers = standins::NonEphemeralEndpoint();
  helper.AddServers();
  REQUIRE(helper.StartServing(4));
  KeyedNode node(kBound);
  node.AddServers();
  node.AddPeer("node-2", *helper.settings.peers);
  REQUIRE(node.StartServing(4));
  TimePoint acknowledged = WithdrawInSilence(node);
  while (SteadyClock().Now() <= acknowledged + kBound) std::this_thread::yield();
  auto runs = [](KeyedNode& at) { return at.servers.at("i-desk")->runs().size(); };
  std::size_t before = runs(helper);
  CHECK(PlatformFixture::Await([&] { return node.GetWithKey("/act/x").status == 200; }));
  CHECK(runs(node) == 0);
  CHECK(runs(helper) > before);
  // The other node knows that the key is withdrawn, and then neither node can know.
  helper.store.Write(platform::kConfigKey, KeyedNode::KeyedConfig(2, kNewKey));
  REQUIRE(PlatformFixture::Await([&] { return helper.RoutesVersion() == 2; }));
  CHECK(PlatformFixture::Await([&] { return node.GetWithKey("/act/x").status == 401; }));
  helper.store.SetMode(StoreMode::kUnresponsive);
  CHECK(PlatformFixture::Await([&] { return helper.GetWithKey("/act/x", kNewKey).status == 503; }));
  before = runs(helper);
  // A key that neither node knows may have been added since.
  CHECK(node.GetWithKey("/act/x").status == 503);
  CHECK(node.GetWithKey("/act/x", "key-added-since").status == 503);
  CHECK(runs(helper) == before);
}

}  // namespace
}  // namespace damaskroute
