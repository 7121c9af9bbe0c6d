#include "damaskroute/settings/node_settings.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "damaskroute/settings/yaml_reader.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

absl::StatusOr<std::string> ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  // Also fails for directories and empty files.
  if (!stream || !(text << stream.rdbuf())) {
    return absl::NotFoundError(
        fmt::format("{}:1:1: expected a readable file that is not empty", path.string()));
  }
  return text.str();
}

void ReadCallers(const YamlReader& callers, NodeSettings& settings) {
  callers.ExpectKeys({"listen", "max_connections"});
  settings.callers = callers.Address("listen");
  settings.max_caller_connections =
      static_cast<std::size_t>(callers.Integer("max_connections", 1, 100'000, 4096));
}

void ReadOperators(const YamlReader& operators, const std::string& file, NodeSettings& settings) {
  operators.ExpectKeys({"listen", "token_file", "threads"});
  settings.operators = operators.Address("listen");
  settings.operator_threads = static_cast<int>(operators.Integer("threads", 1, 64, 2));
  std::string name = operators.String("token_file");
  if (name.empty()) return;
  auto token = ReadFile(std::filesystem::path(file).parent_path() / name);
  if (!token.ok()) {
    operators.Fail("token_file", "expected the path of a readable file that is not empty");
    return;
  }
  settings.operator_token = *token;
  while (!settings.operator_token.empty() && settings.operator_token.back() <= ' ') {
    settings.operator_token.pop_back();
  }
  if (settings.operator_token.size() < 16) {
    operators.Fail("token_file", "expected a file with a token of at least 16 characters");
  }
}

void CheckPeerKeys(const YamlReader& peers, const PeerKeys& keys) {
  constexpr char kExpected[] = "expected a secret of at least 16 characters";
  if (keys.current.secret.size() < kMinPeerSecretBytes) peers.Fail("key", kExpected);
  if (!keys.other.has_value()) return;
  if (keys.other->secret.size() < kMinPeerSecretBytes) peers.Fail("other_key", kExpected);
  if (keys.other->id == keys.current.id) {
    peers.Fail("other_key_id", "expected another number than key_id");
  }
}

void ReadPeers(const YamlReader& peers, NodeSettings& settings) {
  peers.ExpectKeys({"listen", "key_id", "key", "other_key_id", "other_key", "seeds"});
  settings.peers = peers.Address("listen");
  settings.peer_keys.current.id = static_cast<std::uint8_t>(peers.Integer("key_id", 0, 255));
  settings.peer_keys.current.secret = peers.String("key");
  if (peers.Has("other_key") || peers.Has("other_key_id")) {
    settings.peer_keys.other =
        PeerKey{static_cast<std::uint8_t>(peers.Integer("other_key_id", 0, 255)),
                peers.String("other_key")};
  }
  CheckPeerKeys(peers, settings.peer_keys);
  for (const std::string& text : peers.Strings("seeds")) {
    auto seed = ParseEndpoint(text);
    if (seed.ok()) {
      settings.seeds.push_back(*seed);
    } else {
      peers.Fail(
          "seeds",
          fmt::format("expected a list of addresses such as 127.0.0.1:9000, found \"{}\"", text));
    }
  }
}

}  // namespace

absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& file, const std::string& text) {
  YamlErrors errors;
  YamlReader root = YamlReader::Parse(file, text, &errors);
  root.ExpectKeys({"node", "zone", "loops", "log_level", "callers", "operators", "peers", "store",
                   "backends_per_node", "longest_call", "drain_time"});
  NodeSettings settings;
  settings.node = root.Name("node");
  settings.zone = root.Name("zone");
  settings.loops = static_cast<int>(root.Integer("loops", 1, 64, 4));
  settings.log_level =
      static_cast<LogLevel>(root.Choice("log_level", {"debug", "info", "warning", "error"}, 1));
  for (const char* section : {"callers", "operators", "peers"}) {
    if (!root.Has(section)) root.Fail(section, "expected a mapping, the key is missing");
  }
  ReadCallers(root.Map("callers"), settings);
  ReadOperators(root.Map("operators"), file, settings);
  ReadPeers(root.Map("peers"), settings);
  settings.store = root.Address("store");
  settings.backends_per_node = root.Number("backends_per_node", 1, 10'000, 4.7);
  settings.longest_call = root.Span<milliseconds>("longest_call", milliseconds(1000),
                                                  milliseconds(60'000), milliseconds(10'000));
  settings.drain_time = root.Span<milliseconds>("drain_time", milliseconds(0),
                                                milliseconds(600'000), milliseconds(5000));
  if (!errors.status().ok()) return errors.status();
  return settings;
}

absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& file) {
  auto text = ReadFile(file);
  if (!text.ok()) return text.status();
  return ParseNodeSettings(file, *text);
}

}  // namespace damaskroute
