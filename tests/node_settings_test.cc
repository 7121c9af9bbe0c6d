#include "damaskroute/settings/node_settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>

#include "damaskroute/core/error_text.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr char kValid[] = R"(node: entry-1
zone: bogota-a
loops: 4
callers: {listen: "127.0.0.1:7001", max_connections: 100}
operators: {listen: "127.0.0.1:7002", token_file: token}
peers:
  listen: "127.0.0.1:7003"
  key_id: 1
  key: 0123456789abcdef
  other_key_id: 2
  other_key: fedcba9876543210
  seeds: ["127.0.0.1:7004"]
store: 127.0.0.1:7400
drain_time: 5s
)";

class SettingsDirectory {
 public:
  SettingsDirectory() {
    std::filesystem::create_directories(path_);
    std::ofstream(path_ / "token") << "operators-secret-0123\n";
    std::ofstream(path_ / "short-token") << "too-short\n";
    std::ofstream(path_ / "empty-token");
  }

  std::string File(const char* name) const { return (path_ / name).string(); }

 private:
  std::filesystem::path path_{DAMASKROUTE_BINARY_DIR "/node_settings"};
};

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("valid settings are read completely") {
  SettingsDirectory directory;
  auto settings = ParseNodeSettings(directory.File("node.yaml"), kValid);
  REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  CHECK(settings->node == "entry-1");
  CHECK(settings->callers.port == 7001);
  CHECK(settings->max_caller_connections == 100);
  CHECK(settings->operator_token == "operators-secret-0123");
  REQUIRE(settings->peer_keys.other.has_value());
  CHECK(settings->peer_keys.other->id == 2);
  REQUIRE(settings->seeds.size() == 1);
  CHECK(settings->store.port == 7400);
  CHECK(settings->drain_time == std::chrono::seconds(5));
}

// Guards against invalid settings that are accepted, and against error messages without the
// position or the expected value.
TEST_CASE("invalid settings give one error with the position and the expected value") {
  struct Row {
    const char* from;
    const char* to;
    const char* position;
    const char* expected;
  };
  const Row rows[] = {
      {"loops: 4", "loop: 4", "3:1", "expected one of the keys"},
      {"max_connections", "max_connection", "4:37", "expected one of the keys"},
      {"loops: 4", "zone: bogota-b", "3:1", "only once"},
      {"zone: bogota-a\n", "", "1:1", "zone: expected a name, the key is missing"},
      {"store: 127.0.0.1:7400\n", "", "1:1", "store: expected an address"},
      {"callers: {listen: \"127.0.0.1:7001\", max_connections: 100}\n", "", "1:1",
       "callers: expected a mapping"},
      {"{listen: \"127.0.0.1:7001\", max_connections: 100}", "7001", "4:10", "expected a mapping"},
      {"{listen: \"127.0.0.1:7001\", ", "{", "4:10", "listen: expected an address"},
      {"drain_time: 5s", "drain_time: 5", "14:13", "expected a whole number with a unit"},
      {"drain_time: 5s", "drain_time: 5m", "14:13", "expected a whole number with a unit"},
      {"drain_time: 5s", "drain_time: 11min", "14:13", "expected a time span from 0s to 10min"},
      {"drain_time: 5s", "drain_time: 10us", "14:13", "in steps of 1ms"},
      {"loops: 4", "loops: 0", "3:8", "expected a whole number from 1 to 64"},
      {"loops: 4", "loops: 65", "3:8", "expected a whole number from 1 to 64"},
      {"loops: 4", "loops: four", "3:8", "expected a whole number from 1 to 64"},
      {"loops: 4", "backends_per_node: nan", "3:20", "expected a number from 1 to 10000"},
      {"loops: 4", "log_level: loud", "3:12", "expected"},
      {"127.0.0.1:7001", "localhost:7001", "4:19", "expected an IP number"},
      {"127.0.0.1:7001", "127.0.0.1", "4:19", "expected address:port"},
      {"127.0.0.1:7001", "127.0.0.1:70001", "4:19", "expected a port from 1 to 65535"},
      {"127.0.0.1:7004", "peer:7004", "12:10", "expected a list of addresses"},
      {"token_file: token", "token_file: absent", "5:51", "expected the path of a readable file"},
      {"token_file: token", "token_file: empty-token", "5:51", "expected the path of a readable"},
      {"token_file: token", "token_file: short-token", "5:51", "token of at least 16 characters"},
      {"0123456789abcdef", "0123456789abcde", "9:8", "key: expected a secret of at least 16"},
      {"fedcba9876543210", "fedcba987654321", "11:14", "other_key: expected a secret of at least"},
      {"other_key_id: 2", "other_key_id: 1", "10:17", "expected another number than key_id"},
      {"other_key_id: 2", "other_key_id: 256", "10:17", "expected a whole number from 0 to 255"},
      {"  other_key_id: 2\n", "", "7:3", "other_key_id: expected a whole number"},
      {"  other_key: fedcba9876543210\n", "", "7:3", "other_key: expected a text"},
      {"entry-1", "entry 1", "1:7", "expected a name of 1 to 64 characters"},
      {"entry-1", "\"\"", "1:7", "expected a name of 1 to 64 characters"},
      {"entry-1", "entr\xc3\xa9", "1:7", "expected a name of 1 to 64 characters"},
      {"entry-1", "\"entry-1", "", "expected YAML"},
  };
  SettingsDirectory directory;
  const std::regex format(R"([^\n]*node\.yaml:(\d+:\d+): [^\n]*expected [^\n]+)");
  for (const Row& row : rows) {
    CAPTURE(row.to);
    auto settings =
        ParseNodeSettings(directory.File("node.yaml"), Replace(kValid, row.from, row.to));
    REQUIRE_FALSE(settings.ok());
    std::string message = ErrorText(settings.status());
    CAPTURE(message);
    std::smatch match;
    REQUIRE(std::regex_match(message, match, format));
    if (*row.position != '\0') CHECK(match[1] == row.position);
    CHECK(message.find(row.expected) != std::string::npos);
    // Error messages are logged, so they must not contain a key or a token.
    CHECK(message.find("0123") == std::string::npos);
    CHECK(message.find("fedcba") == std::string::npos);
  }
}

TEST_CASE("a name has at most 64 characters") {
  SettingsDirectory directory;
  for (std::size_t length : {64, 65}) {
    std::string name(length, 'x');
    auto settings =
        ParseNodeSettings(directory.File("node.yaml"), Replace(kValid, "entry-1", name));
    CHECK(settings.ok() == (length == 64));
  }
}

TEST_CASE("errors of unreadable, empty and non-mapping files have the same format") {
  SettingsDirectory directory;
  for (const char* name : {"absent.yaml", "empty-token", "."}) {
    auto settings = LoadNodeSettings(directory.File(name));
    REQUIRE_FALSE(settings.ok());
    CHECK(ErrorText(settings.status()) ==
          directory.File(name) + ":1:1: expected a readable file that is not empty");
  }
  for (const char* text : {"", "# nothing\n", "- node\n", "node"}) {
    CAPTURE(text);
    auto settings = ParseNodeSettings("node.yaml", text);
    REQUIRE_FALSE(settings.ok());
    CHECK(ErrorText(settings.status()).rfind("node.yaml:1:1: ", 0) == 0);
  }
}

}  // namespace
}  // namespace damaskroute
