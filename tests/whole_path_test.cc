#include <doctest/doctest.h>

#include <set>
#include <string>

#include "tests/support/cluster.h"

namespace damaskroute {
namespace {

using testing::Cluster;
using testing::HttpCallResult;
using testing::WaitFor;

constexpr KeyRange kLowHalf{0, kKeySpaceSize / 2};
constexpr KeyRange kHighHalf{kKeySpaceSize / 2, kKeySpaceSize};

// Two zones with one node each; each half of the index has a replica in each zone.
void BuildTwoZones(Cluster& cluster) {
  cluster.AddZone("a");
  cluster.AddZone("b");
  cluster.AddNode("node-a", "a");
  cluster.AddNode("node-b", "b");
  cluster.AddBackend("a-low", "a", {{1, {kLowHalf}}});
  cluster.AddBackend("a-high", "a", {{1, {kHighHalf}}});
  cluster.AddBackend("b-low", "b", {{1, {kLowHalf}}});
  cluster.AddBackend("b-high", "b", {{1, {kHighHalf}}});
  cluster.AddService("desk");
}

std::size_t CountRows(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.c_str(), body.size());
  REQUIRE_FALSE(document.HasParseError());
  std::set<std::uint64_t> keys;
  for (const auto& row : document["rows"].GetArray()) keys.insert(row["key"].GetUint64());
  CHECK(keys.size() == document["rows"].Size());
  return keys.size();
}

TEST_CASE("a query through any node returns all rows of all shards once") {
  Cluster cluster;
  BuildTwoZones(cluster);
  REQUIRE(cluster.Start().ok());
  for (std::size_t node : {0, 1}) {
    REQUIRE(WaitFor([&] { return cluster.AnswersFully(node, "desk"); }));
    HttpCallResult result = cluster.Query(node, "desk", R"({"query":{},"request_id":"r1"})");
    CHECK(result.status == 200);
    CHECK(CountRows(result.body) == standins::BackendOptions{}.records);
    CHECK(result.body.find("\"index_version\":1") != std::string::npos);
    CHECK(result.body.find("\"fraction\":1") != std::string::npos);
  }
}

TEST_CASE("a zone taken out gets no new work, and the other zone answers in full") {
  Cluster cluster;
  BuildTwoZones(cluster);
  REQUIRE(cluster.Start().ok());
  REQUIRE(WaitFor([&] { return cluster.AnswersFully(0, "desk"); }));
  cluster.Reconfigure([](ConfigDocument& config) { config.zones[0].state = ZoneState::kOut; });
  auto received = [&] { return cluster.backend(0).Stats().received; };
  REQUIRE(WaitFor([&] {
    auto before = received();
    for (int i = 0; i < 20; ++i) {
      if (!cluster.AnswersFully(0, "desk")) return false;
    }
    return received() == before;
  }));
}

TEST_CASE("an unknown front, path or method is refused with a problem document") {
  Cluster cluster;
  BuildTwoZones(cluster);
  REQUIRE(cluster.Start().ok());
  REQUIRE(WaitFor([&] { return cluster.AnswersFully(0, "desk"); }));
  HttpCallResult result = cluster.Query(0, "nowhere", R"({"query":{}})");
  CHECK(result.status == 404);
  CHECK(result.body.find("\"verdict\":\"not_run\"") != std::string::npos);
  const Endpoint& callers = cluster.settings(0).callers;
  CHECK(testing::HttpCall(callers, "GET", "/v1/fronts/desk/query").status == 405);
  CHECK(testing::HttpCall(callers, "GET", "/etc/passwd").status == 404);
  CHECK(testing::HttpCall(callers, "GET", "/readyz").status == 200);
}

}  // namespace
}  // namespace damaskroute
