#include <doctest/doctest.h>

#include "tests/support/client_crowd.h"
#include "tests/support/limited_node.h"

// Crowds of connections against the real node program on a machine with few file descriptors. Each
// case guards against descriptors that run out, so that the node reaches no server and no store,
// and against connections that keep ordinary callers and readiness checks out.

namespace damaskroute {
namespace {

constexpr int kMemoryMb = 64;
constexpr int kMaxDescriptors = 128;

// Connections per port: more than the node may open altogether.
constexpr std::size_t kConnections = 150;

// Runs a crowd that sends `bytes` on the callers' port, or on all ports.
void RunCrowd(const std::string& bytes, bool all_ports) {
  LimitedNode node(kMemoryMb, kMaxDescriptors);
  REQUIRE(node.AwaitServing());
  {
    ClientCrowd crowd;
    const soak::NodeProcess& process = node.process();
    crowd.Add(2 * kConnections, process.callers(), bytes, ClientCrowd::kWhole);
    if (all_ports) {
      for (const Endpoint& port :
           {process.peers(), process.ready(), process.metrics(), process.changes()}) {
        crowd.Add(kConnections, port, bytes, ClientCrowd::kWhole);
      }
    }
    crowd.Send();
    CHECK(node.open_descriptors() < kMaxDescriptors);
    CHECK(node.AwaitServing());
    CHECK(node.open_descriptors() < kMaxDescriptors);
  }
  CHECK(node.AwaitServing());
  CHECK(node.process().IsRunning());
  CHECK(node.open_descriptors() < kMaxDescriptors);
}

TEST_CASE("connections that send nothing") { RunCrowd("", true); }

TEST_CASE("connections that send half a header") {
  RunCrowd(LimitedNode::Head("GET", "/one/x"), true);
}

TEST_CASE("connections that send half a body") {
  RunCrowd(LimitedNode::Head("POST", "/one/x") + "Content-Length: 9\r\n\r\n1", true);
}

// Guards against connections to servers that use the descriptors which callers leave.
TEST_CASE("connections with requests that wait for a server") {
  LimitedNode node(kMemoryMb, kMaxDescriptors);
  REQUIRE(node.AwaitServing());
  node.server(0).SetMode(platform::ServerMode::kUnresponsive);
  ClientCrowd crowd;
  crowd.Add(2 * kConnections, node.process().callers(), LimitedNode::Request("GET", "/one/x"),
            ClientCrowd::kWhole);
  crowd.Send();
  CHECK(node.open_descriptors() < kMaxDescriptors);
  CHECK(node.AwaitReady());
  node.server(0).SetMode(platform::ServerMode::kAnswer);
  CHECK(node.AwaitServing());
  CHECK(node.open_descriptors() < kMaxDescriptors);
}

}  // namespace
}  // namespace damaskroute
