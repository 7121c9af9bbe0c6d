#include "damaskroute/routing/route_table.h"

#include <doctest/doctest.h>

#include "damaskroute/routing/weighted_split.h"

namespace damaskroute {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  return {.name = name, .host = "desk.example", .prefix = prefix};
}

TEST_CASE("the longest matching prefix of the path wins") {
  RoutingDocument document;
  document.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/"),
                     MakeRoute("other", "/a/bc/")};
  RouteTable table(document);
  CHECK(table.Find("desk.example", "/a/x")->name == "short");
  CHECK(table.Find("desk.example", "/a/b/c")->name == "long");
  CHECK(table.Find("desk.example", "/a/bc")->name == "short");
  CHECK(table.Find("desk.example", "/a/b/?q=/a/bc/")->name == "long");
  CHECK(table.Find("desk.example", "/b/") == nullptr);
}

TEST_CASE("the case and the port of the host are ignored, another host does not match") {
  RoutingDocument document;
  document.routes = {MakeRoute("short", "/a/")};
  RouteTable table(document);
  CHECK(table.Find("Desk.Example:8104", "/a/") != nullptr);
  CHECK(table.Find("example", "/a/") == nullptr);
}

TEST_CASE("each target of a split gets its exact share at any time, not only on average") {
  WeightedSplit split;
  std::vector<WeightedService> targets = {{"a", 7}, {"b", 2}, {"c", 1}};
  std::vector<int> counts(3);
  for (int i = 1; i <= 1000; ++i) {
    ++counts[split.Next(targets)];
    for (std::size_t k = 0; k < targets.size(); ++k) {
      REQUIRE(std::abs(counts[k] - i * targets[k].weight / 10) < 1.0 + 1e-9);
    }
  }
}

TEST_CASE("a target of weight zero gets no requests") {
  WeightedSplit split;
  std::vector<WeightedService> targets = {{"a", 0}, {"b", 1}};
  for (int i = 0; i < 10; ++i) CHECK(split.Next(targets) == 1);
}

}  // namespace
}  // namespace damaskroute
