#include <doctest/doctest.h>

#include <string>

#include "damaskroute/api/action_request.h"
#include "damaskroute/api/front_target.h"
#include "damaskroute/api/query_request.h"

namespace damaskroute {
namespace {

TEST_CASE("parses a complete query body") {
  auto request = ParseQueryRequest(
      R"({"query": {"genus": "Zea"}, "deadline_ms": 70, "priority": "urgent", "request_id": "r-1"})");
  REQUIRE(request.ok());
  CHECK(request->query == R"({"genus":"Zea"})");
  CHECK(request->deadline == std::chrono::milliseconds(70));
  CHECK(request->priority == Priority::kUrgent);
  CHECK(request->request_id == "r-1");
}

TEST_CASE("refuses invalid query bodies with a message that names the error") {
  struct Case {
    std::string body;
    std::string message_part;
  };
  const Case cases[] = {
      {"", "not valid JSON"},
      {"[]", "must be a JSON object"},
      {"{}", "\"query\""},
      {R"({"query":1})", "\"query\": expected an object"},
      {R"({"query":{},"deadline_ms":0})", "\"deadline_ms\""},
      {R"({"query":{},"deadline_ms":-5})", "\"deadline_ms\""},
      {R"({"query":{},"deadline_ms":60001})", "\"deadline_ms\""},
      {R"({"query":{},"deadline_ms":1e99})", "\"deadline_ms\""},
      {R"({"query":{},"priority":"high"})", "\"priority\""},
      {R"({"query":{},"request_id":"a b"})", "\"request_id\""},
      {R"({"query":{},"request_id":")" + std::string(129, 'x') + "\"}", "\"request_id\""},
      {R"({"query":{},"limit":5})", "unknown member \"limit\""},
      {R"({"query":{},"query":{}})", "more than once"},
      {R"({"query":{"a":"\xff"}})"
       "\xff",
       "not valid JSON"},
      {std::string(100'000, '['), "deeper than"},
  };
  for (const Case& c : cases) {
    auto request = ParseQueryRequest(c.body);
    REQUIRE_FALSE(request.ok());
    CHECK_MESSAGE(std::string(request.status().message()).find(c.message_part) != std::string::npos,
                  std::string(request.status().message()));
  }
}

TEST_CASE("refuses an action without a key, which selects the shard") {
  CHECK(ParseActionRequest(R"({"action":{"withdraw":1},"key":7})").ok());
  CHECK_FALSE(ParseActionRequest(R"({"action":{"withdraw":1}})").ok());
  CHECK_FALSE(ParseActionRequest(R"({"action":{},"key":4294967296})").ok());
}

TEST_CASE("accepts only complete front paths") {
  auto target = ParseFrontTarget("/v1/fronts/desk/query?x=1");
  REQUIRE(target.has_value());
  CHECK(target->front == "desk");
  CHECK(target->operation == "query");
  for (const char* path : {"/v1/fronts/", "/v1/fronts/desk", "/v1/fronts//query",
                           "/v1/fronts/a/b/c", "/v2/fronts/a/query", "/v1/fronts/a/"}) {
    CHECK_FALSE(ParseFrontTarget(path).has_value());
  }
}

}  // namespace
}  // namespace damaskroute
