#include "damaskroute/node/control_plane.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>

namespace damaskroute {
namespace {

// A control plane and the reports that it sends. Its loop runs only in `AwaitSent`.
class ControlPlaneFixture {
 public:
  ControlPlaneFixture() : loop_(1), control_(loop_, {"node-0", "zone-a", 1, 1.0}, view_, Hooks()) {
    config_.revision = 1;
    config_.zones.push_back({"zone-a", "region", {}});
    Service service;
    service.name = "service";
    for (int i = 0; i < 4; ++i) {
      BackendServer backend;
      backend.name = fmt::format("backend-{}", i);
      backend.zone = "zone-a";
      service.backends.push_back(backend);
    }
    config_.services.push_back(service);
    for (int i = 0; i < 4; ++i) {
      roster_.node_entries.push_back({fmt::format("node-{}", i),
                                      "zone-a",
                                      {"127.0.0.1", static_cast<std::uint16_t>(7000 + i)},
                                      1,
                                      false});
    }
    InstallRoster();
    InstallConfig();
    BackendReport report;
    report.service = "service";
    report.backend = "backend-0";
    control_.OnLocalReport(report);
  }

  void InstallConfig() {
    ++config_.revision;
    control_.InstallConfig(config_);
  }

  void InstallRoster() {
    ++roster_.revision;
    control_.InstallRoster(roster_);
  }

  // Reports sent since the last call, by receiver.
  std::map<NodeName, int> TakeSent() { return std::exchange(sent_, {}); }

  // Runs the loop until a report is sent.
  std::map<NodeName, int> AwaitSent() {
    while (sent_.empty()) loop_.context().run_one();
    return TakeSent();
  }

  ConfigDocument& config() { return config_; }
  Roster& roster() { return roster_; }
  ControlPlane& control() { return control_; }

 private:
  ControlHooks Hooks() {
    ControlHooks hooks;
    hooks.set_limit = [](const HolderLoop::Limit&) {};
    hooks.view_changed = [](const ServiceName&) {};
    hooks.send_to_node = [this](const NodeName& node, const Message& message) {
      sent_[node] += std::holds_alternative<BackendReport>(message);
    };
    return hooks;
  }

  EventLoop loop_;
  Snapshot<NodeView> view_;
  std::map<NodeName, int> sent_;
  ControlPlane control_;
  ConfigDocument config_;
  Roster roster_;
};

using Sent = std::map<NodeName, int>;

// Guards against sending reports to all coordinators on each change: 846 messages at the target
// size.
TEST_CASE("a change sends reports to new coordinators only") {
  ControlPlaneFixture fixture;
  fixture.TakeSent();
  fixture.config().services[0].backends[1].slots = 2;
  fixture.config().services[0].backends[1].connections = 2;
  fixture.InstallConfig();
  CHECK(fixture.TakeSent() == Sent{});

  fixture.roster().node_entries.push_back({"node-4", "zone-a", {"127.0.0.1", 7004}, 1, false});
  Service& service = fixture.config().services[0];
  BackendServer added = service.backends.front();
  added.name = "backend-4";
  service.backends.push_back(added);
  fixture.InstallConfig();
  fixture.InstallRoster();
  CHECK(fixture.TakeSent() == Sent{{"node-4", 1}});
}

// Guards against a restarted coordinator that never receives the state of the backend servers.
TEST_CASE("a restarted coordinator is sent the reports again") {
  ControlPlaneFixture fixture;
  fixture.TakeSent();
  fixture.roster().node_entries[2].incarnation = 2;
  fixture.InstallRoster();
  CHECK(fixture.TakeSent() == Sent{{"node-2", 1}});
}

// Guards against a coordinator that discarded the reports of a node that it considered dead, or
// lost them with a connection, and does not receive them until the periodic resend reaches it.
TEST_CASE("a coordinator that was partitioned is sent the reports again") {
  ControlPlaneFixture fixture;
  fixture.TakeSent();
  fixture.control().OnNodeUp("node-1");
  CHECK(fixture.TakeSent() == Sent{{"node-1", 1}});
  fixture.control().OnPeerLost({"127.0.0.1", 7003});
  fixture.InstallConfig();
  CHECK(fixture.TakeSent() == Sent{{"node-3", 1}});
}

// Guards against a node that restarts while the store is down and then coordinates without the
// reports of its peers, as neither its roster entry nor its address changes.
TEST_CASE("a restarted coordinator is sent the reports again, whichever event is detected first") {
  ControlPlaneFixture fixture;
  fixture.TakeSent();
  Endpoint peer{"127.0.0.1", 7001};
  SUBCASE("its lost connection") {
    fixture.control().OnPeerLost(peer);
    fixture.control().OnNodeUp("node-1");
    CHECK(fixture.TakeSent() == Sent{{"node-1", 1}});
  }
  SUBCASE("its new process") {
    fixture.control().OnNodeUp("node-1");
    CHECK(fixture.TakeSent() == Sent{{"node-1", 1}});
    fixture.control().OnPeerLost(peer);  // The reports were sent on the old connection.
    CHECK(fixture.AwaitSent() == Sent{{"node-1", 1}});
  }
}

// Guards against repeated messages to a dead node: each one fails and ends in a lost connection.
TEST_CASE("a node that membership considers down is sent nothing until it is up again") {
  ControlPlaneFixture fixture;
  fixture.TakeSent();
  fixture.control().OnNodeDown("node-1");
  fixture.control().OnPeerLost({"127.0.0.1", 7001});
  fixture.InstallConfig();
  CHECK(fixture.TakeSent().empty());
  fixture.control().OnNodeUp("node-1");
  CHECK(fixture.TakeSent() == Sent{{"node-1", 1}});
}

}  // namespace
}  // namespace damaskroute
