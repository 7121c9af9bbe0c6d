#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>

#include "damaskroute/core/json_member.h"
#include "tests/support/cluster.h"
#include "tests/support/markdown.h"

namespace damaskroute {
namespace {

using testing::Cluster;
using testing::FencedBlock;
using testing::HttpCallResult;
using testing::WaitFor;

constexpr char kPage[] = DAMASKROUTE_SOURCE_DIR "/docs/api.md";
constexpr KeyRange kLowHalf{0, kKeySpaceSize / 2};
constexpr KeyRange kHighHalf{kKeySpaceSize / 2, kKeySpaceSize};

// Adds the services that the page uses. No server holds the upper half of the index of `archive`.
void BuildCluster(Cluster& cluster) {
  cluster.AddZone("a");
  cluster.AddZone("b");
  cluster.AddNode("entry-1", "a");
  cluster.AddNode("entry-2", "b");
  cluster.AddBackend("catalog-1", "a", {{1, {kLowHalf}}});
  cluster.AddBackend("catalog-2", "a", {{1, {kHighHalf}}});
  cluster.AddBackend("catalog-3", "b", {{1, {kLowHalf}}});
  cluster.AddBackend("catalog-4", "b", {{1, {kHighHalf}}});
  cluster.AddService("catalog");
  cluster.AddBackend("archive-1", "a", {{1, {kLowHalf}}});
  cluster.AddService("archive");
}

struct Example {
  int line = 0;
  std::string method;
  std::string target;
  std::string body;
  int status = 0;
  std::string expected;
};

// Fails on a block that is not part of an example, so that every block is executed.
std::vector<Example> ReadExamples() {
  std::vector<Example> examples;
  std::vector<FencedBlock> blocks = testing::ReadFencedBlocks(kPage);
  REQUIRE(blocks.size() % 2 == 0);
  for (std::size_t i = 0; i < blocks.size(); i += 2) {
    CAPTURE(blocks[i].line);
    REQUIRE(blocks[i].info == "http");
    REQUIRE(blocks[i + 1].info.rfind("json ", 0) == 0);
    Example example;
    example.line = blocks[i].line;
    std::istringstream request(blocks[i].text);
    std::string rest;
    request >> example.method >> example.target;
    std::getline(request, rest);
    REQUIRE(rest.empty());
    std::getline(request, rest);
    REQUIRE(rest.empty());
    std::getline(request, example.body, '\0');
    example.status = std::stoi(blocks[i + 1].info.substr(5));
    example.expected = blocks[i + 1].text;
    examples.push_back(example);
  }
  return examples;
}

// Values taken from earlier responses, keyed by the variable `$NAME` that stands for them.
using Variables = std::map<std::string, std::string>;

std::string Substitute(std::string text, const Variables& variables) {
  for (const auto& [name, value] : variables) {
    for (auto at = text.find(name); at != std::string::npos; at = text.find(name)) {
      text.replace(at, name.size(), value);
    }
  }
  return text;
}

// Whether `actual` has all members of `expected`. The string "..." matches any value, and `$NAME`
// matches any string and stores it in that variable.
bool Matches(const rapidjson::Value& expected, const rapidjson::Value& actual,
             Variables& variables) {
  if (expected.IsObject()) {
    return actual.IsObject() && VisitJsonMembers(expected, [&](std::string_view name, auto& value) {
             const auto* member = FindJsonMember(actual, std::string(name).c_str());
             return member != nullptr && Matches(value, *member, variables);
           });
  }
  if (!expected.IsString()) return expected == actual;
  std::string text = expected.GetString();
  if (text == "...") return true;
  if (text.empty() || text.front() != '$') return expected == actual;
  if (actual.IsString()) variables[text] = actual.GetString();
  return actual.IsString();
}

rapidjson::Document ParseJson(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.c_str(), text.size());
  CAPTURE(text);
  REQUIRE_FALSE(document.HasParseError());
  return document;
}

// Guards against documentation that differs from the behavior of the interface.
TEST_CASE("each example of docs/api.md gets the documented response") {
  Cluster cluster;
  BuildCluster(cluster);
  REQUIRE(cluster.Start().ok());
  for (std::size_t node : {0, 1}) {
    REQUIRE(WaitFor([&] { return cluster.AnswersFully(node, "catalog"); }));
    REQUIRE(
        WaitFor([&] { return cluster.Query(node, "archive", R"({"query":{}})").status == 200; }));
  }
  std::vector<Example> examples = ReadExamples();
  REQUIRE(examples.size() >= 10);
  Variables variables;
  std::size_t node = 0;
  for (const Example& example : examples) {
    CAPTURE(example.line);
    // All nodes behave alike, so the examples alternate between them.
    HttpCallResult result = testing::HttpCall(cluster.settings(node++ % 2).callers, example.method,
                                              example.target, Substitute(example.body, variables));
    CAPTURE(result.body);
    CHECK(result.status == example.status);
    CHECK(Matches(ParseJson(Substitute(example.expected, variables)), ParseJson(result.body),
                  variables));
  }
}

std::string ReadPage() {
  std::ifstream stream(kPage);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Guards against a table of problems that differs from the responses.
TEST_CASE("each problem of the examples is in the table with its status and verdict") {
  std::string page = ReadPage();
  int problems = 0;
  for (const Example& example : ReadExamples()) {
    if (example.status < 400) continue;
    rapidjson::Document expected = ParseJson(example.expected);
    REQUIRE(expected.HasMember("type"));
    REQUIRE(expected.HasMember("verdict"));
    std::string row = fmt::format("| `{}` | {} | `{}` |", expected["type"].GetString(),
                                  example.status, expected["verdict"].GetString());
    CAPTURE(row);
    CHECK(page.find(row) != std::string::npos);
    ++problems;
  }
  CHECK(problems >= 5);
}

}  // namespace
}  // namespace damaskroute
