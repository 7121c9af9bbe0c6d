#include "damaskroute/node/control_plane.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>

namespace damaskroute {
namespace {

// One control plane whose loop does not run, with the reports that it sends.
class ControlWorld {
 public:
  ControlWorld() : loop_(1), control_(loop_, {"node-0", "zone-a", 1, 1.0}, view_, Hooks()) {
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
      roster_.seats.push_back({fmt::format("node-{}", i),
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
    hooks.to_node = [this](const NodeName& node, const Message& message) {
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

// Guards against reports to all coordinators on each change: 846 messages at the target size.
TEST_CASE("a change sends reports to new coordinators only") {
  ControlWorld world;
  world.TakeSent();
  world.config().services[0].backends[1].slots = 2;
  world.config().services[0].backends[1].connections = 2;
  world.InstallConfig();
  CHECK(world.TakeSent() == Sent{});

  world.roster().seats.push_back({"node-4", "zone-a", {"127.0.0.1", 7004}, 1, false});
  Service& service = world.config().services[0];
  BackendServer added = service.backends.front();
  added.name = "backend-4";
  service.backends.push_back(added);
  world.InstallConfig();
  world.InstallRoster();
  CHECK(world.TakeSent() == Sent{{"node-4", 1}});
}

// Guards against a restarted coordinator that never learns of the backend servers.
TEST_CASE("a restarted coordinator is told again") {
  ControlWorld world;
  world.TakeSent();
  world.roster().seats[2].incarnation = 2;
  world.InstallRoster();
  CHECK(world.TakeSent() == Sent{{"node-2", 1}});
}

// Guards against a coordinator that dropped the reports of a node it had called dead, or lost them
// with a connection, and would not get them until the periodic repetition reaches it.
TEST_CASE("a coordinator that was cut off is told again") {
  ControlWorld world;
  world.TakeSent();
  world.control().OnNodeFound("node-1");
  CHECK(world.TakeSent() == Sent{{"node-1", 1}});
  world.control().OnPeerLost({"127.0.0.1", 7003});
  world.InstallConfig();
  CHECK(world.TakeSent() == Sent{{"node-3", 1}});
}

// Guards against a node that restarts while the store is down, and coordinates without the reports
// of its peers: neither its seat nor its address changes.
TEST_CASE("a coordinator that restarted is told again, whatever is noticed first") {
  ControlWorld world;
  world.TakeSent();
  Endpoint peer{"127.0.0.1", 7001};
  SUBCASE("its lost connection") {
    world.control().OnPeerLost(peer);
    world.control().OnNodeFound("node-1");
    CHECK(world.TakeSent() == Sent{{"node-1", 1}});
  }
  SUBCASE("its new process") {
    world.control().OnNodeFound("node-1");
    CHECK(world.TakeSent() == Sent{{"node-1", 1}});
    world.control().OnPeerLost(peer);  // What was sent went into the old connection.
    CHECK(world.AwaitSent() == Sent{{"node-1", 1}});
  }
}

// Guards against messages to a dead node again and again: each fails and ends in a lost connection.
TEST_CASE("a node that membership calls gone is told nothing until it is found again") {
  ControlWorld world;
  world.TakeSent();
  world.control().OnNodeLost("node-1");
  world.control().OnPeerLost({"127.0.0.1", 7001});
  world.InstallConfig();
  CHECK(world.TakeSent().empty());
  world.control().OnNodeFound("node-1");
  CHECK(world.TakeSent() == Sent{{"node-1", 1}});
}

}  // namespace
}  // namespace damaskroute
