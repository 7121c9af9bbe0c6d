#include "damaskroute/relay/relay_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "fmt/format.h"

namespace damaskroute {
namespace {

std::map<NodeName, NodeRecord> Zone(int nodes, const ZoneName& zone = "a") {
  std::map<NodeName, NodeRecord> records;
  for (int i = 0; i < nodes; ++i) {
    Endpoint relay_endpoint{fmt::format("10.0.0.{}", i + 1), 7381};
    records[fmt::format("{}-{}", zone, i)] = {zone, relay_endpoint};
  }
  return records;
}

TEST_CASE("the nodes of a small zone read the store") {
  auto nodes = Zone(2);
  CHECK(ChooseRelays("a-0", "a", nodes).empty());
  CHECK(ChooseRelays("a-1", "a", nodes).empty());
  CHECK(ChooseRelays("new", "a", {}).empty());
}

// Guards against a store load that grows with the number of nodes, and against a reader that serves
// a whole large zone.
TEST_CASE(
    "few nodes of a large zone read the store, and the others are distributed evenly over them") {
  for (int size : {3, 20, 100, 1900}) {
    CAPTURE(size);
    auto nodes = Zone(size);
    std::set<Endpoint> readers;
    std::map<Endpoint, std::size_t> followers;
    std::size_t direct = 0;
    for (const auto& [name, record] : nodes) {
      auto relays = ChooseRelays(name, "a", nodes);
      if (relays.empty()) {
        ++direct;
        continue;
      }
      REQUIRE(relays.size() == kRelaysPerNode);
      readers.insert(relays.begin(), relays.end());
      ++followers[relays.front()];
    }
    std::size_t expected =
        std::max(kMinReaders, (nodes.size() + kNodesPerReader - 1) / kNodesPerReader);
    CHECK(direct == expected);
    CHECK(readers.size() <= expected);
    for (const auto& [relay, count] : followers) CHECK(count <= 2 * kNodesPerReader);
  }
}

TEST_CASE("a node follows only nodes of its zone that publish an endpoint") {
  auto nodes = Zone(3, "b");
  CHECK(ChooseRelays("a-0", "a", nodes).empty());
  for (auto& [name, record] : nodes) record.relay_endpoint.reset();
  CHECK(ChooseRelays("b-9", "b", nodes).empty());
}

// Guards against a change of one node that makes all followers switch.
TEST_CASE("the removal of a node that is not a reader does not affect the others") {
  auto nodes = Zone(10);
  auto before = ChooseRelays("a-9", "a", nodes);
  auto fewer = nodes;
  for (const auto& [name, record] : nodes) {
    if (ChooseRelays(name, "a", nodes).empty() || name == "a-9") continue;
    fewer.erase(name);
    break;
  }
  REQUIRE(fewer.size() == 9);
  if (!before.empty()) CHECK(ChooseRelays("a-9", "a", fewer) == before);
}

}  // namespace
}  // namespace damaskroute
