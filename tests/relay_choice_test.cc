#include "damaskroute/relay/relay_choice.h"

#include <doctest/doctest.h>

#include <set>

#include "fmt/format.h"

namespace damaskroute {
namespace {

std::map<NodeName, NodeRecord> Zone(int nodes, const ZoneName& zone = "a") {
  std::map<NodeName, NodeRecord> records;
  for (int i = 0; i < nodes; ++i) {
    Endpoint changes{fmt::format("10.0.0.{}", i + 1), 7381};
    records[fmt::format("{}-{}", zone, i)] = {zone, changes};
  }
  return records;
}

TEST_CASE("the nodes of a small zone follow the store") {
  auto nodes = Zone(2);
  CHECK(ChooseRelays("a-0", "a", nodes).empty());
  CHECK(ChooseRelays("a-1", "a", nodes).empty());
  CHECK(ChooseRelays("new", "a", {}).empty());
}

// Guards against calls to the store that grow with the number of nodes.
TEST_CASE("two nodes of a large zone follow the store and the others follow both evenly") {
  auto nodes = Zone(100);
  std::set<Endpoint> readers;
  std::map<Endpoint, int> first;
  int direct = 0;
  for (const auto& [name, record] : nodes) {
    auto relays = ChooseRelays(name, "a", nodes);
    if (relays.empty()) {
      ++direct;
      continue;
    }
    REQUIRE(relays.size() == kReadersPerZone);
    readers.insert(relays.begin(), relays.end());
    ++first[relays.front()];
  }
  CHECK(direct == static_cast<int>(kReadersPerZone));
  CHECK(readers.size() == kReadersPerZone);
  for (const auto& [relay, followers] : first) CHECK(followers >= 30);
}

TEST_CASE("a node follows nodes of its own zone that say where") {
  auto nodes = Zone(3, "b");
  CHECK(ChooseRelays("a-0", "a", nodes).empty());
  for (auto& [name, record] : nodes) record.changes.reset();
  CHECK(ChooseRelays("b-9", "b", nodes).empty());
}

// Guards against a change of one node that moves all followers.
TEST_CASE("a node that is no reader leaves without a change for the others") {
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
