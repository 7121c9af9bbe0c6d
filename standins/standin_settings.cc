#include "standins/standin_settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "fmt/format.h"
#include "standins/option_text.h"

namespace damaskroute::standins {
namespace {

// Exception thrown by the readers below and caught by ParseStandinSettings.
struct SettingsError {
  YAML::Mark mark;
  std::string message;
};

[[noreturn]] void Fail(const YAML::Node& node, std::string message) {
  throw SettingsError{node.Mark(), std::move(message)};
}

const std::string& Scalar(const YAML::Node& node, std::string_view expected) {
  if (!node.IsScalar()) Fail(node, fmt::format("expected {}", expected));
  return node.Scalar();
}

Endpoint ReadEndpoint(const YAML::Node& node) {
  auto endpoint = ParseEndpoint(Scalar(node, "address:port"));
  if (!endpoint.ok()) Fail(node, std::string{endpoint.status().message()});
  if (!endpoint->address.starts_with("127.")) Fail(node, "expected an address in 127.0.0.0/8");
  return *std::move(endpoint);
}

HeldVersions ReadVersions(const YAML::Node& node) {
  constexpr std::string_view kExpected = "a map from index version to a list of ranges";
  if (!node.IsMap()) Fail(node, fmt::format("expected {}", kExpected));
  HeldVersions versions;
  for (const auto& entry : node) {
    std::uint64_t version = 0;
    if (!ParseOption(Scalar(entry.first, kExpected), version)) {
      Fail(entry.first, "expected an index version, a whole number");
    }
    if (!entry.second.IsSequence()) Fail(entry.second, "expected a list of ranges low-high");
    std::vector<KeyRange> ranges;
    for (const YAML::Node& item : entry.second) {
      auto range = ParseKeyRange(Scalar(item, "a range low-high"));
      if (!range) Fail(item, "expected a range low-high with low < high <= 4294967296");
      ranges.push_back(*range);
    }
    versions.emplace_back(version, std::move(ranges));
  }
  return versions;
}

template <typename Options>
void ReadOption(const YAML::Node& key, const YAML::Node& value, Options& options,
                absl::Status (*set)(Options&, std::string_view, std::string_view)) {
  absl::Status status = set(options, Scalar(key, "an option name"), Scalar(value, "a value"));
  if (absl::IsNotFound(status)) Fail(key, std::string{status.message()});
  if (!status.ok()) Fail(value, std::string{status.message()});
}

// Rejects duplicate keys, which yaml-cpp accepts.
void RequireUniqueKeys(const YAML::Node& map) {
  std::set<std::string> seen;
  for (const auto& entry : map) {
    if (!seen.insert(Scalar(entry.first, "a key")).second) Fail(entry.first, "expected a key once");
  }
}

BackendSettings ReadBackend(const YAML::Node& node, const BackendOptions& defaults) {
  if (!node.IsMap()) Fail(node, "expected a map with name, endpoint, versions and options");
  RequireUniqueKeys(node);
  BackendSettings backend;
  backend.options = defaults;
  for (const auto& entry : node) {
    const std::string& key = Scalar(entry.first, "a key");
    if (key == "name") {
      backend.name = Scalar(entry.second, "a name");
    } else if (key == "endpoint") {
      backend.endpoint = ReadEndpoint(entry.second);
    } else if (key == "versions") {
      backend.versions = ReadVersions(entry.second);
    } else {
      ReadOption(entry.first, entry.second, backend.options, SetBackendOption);
    }
  }
  if (backend.name.empty() || backend.endpoint.port == 0) Fail(node, "expected name and endpoint");
  return backend;
}

PlatformSettings ReadPlatform(const YAML::Node& node) {
  if (!node.IsMap()) Fail(node, "expected a map with endpoint and options");
  RequireUniqueKeys(node);
  PlatformSettings platform;
  for (const auto& entry : node) {
    if (Scalar(entry.first, "a key") == "endpoint") {
      platform.endpoint = ReadEndpoint(entry.second);
    } else {
      ReadOption(entry.first, entry.second, platform.options, SetPlatformOption);
    }
  }
  if (platform.endpoint.port == 0) Fail(node, "expected endpoint");
  return platform;
}

StandinSettings Read(const YAML::Node& root) {
  if (!root.IsMap()) Fail(root, "expected a map");
  RequireUniqueKeys(root);
  StandinSettings settings;
  BackendOptions defaults;
  // Read first, because the defaults also apply to backend servers that precede them in the file.
  if (root["defaults"]) {
    const YAML::Node node = root["defaults"];
    if (!node.IsMap()) Fail(node, "expected a map of options");
    RequireUniqueKeys(node);
    for (const auto& entry : node) {
      ReadOption(entry.first, entry.second, defaults, SetBackendOption);
    }
  }
  std::set<std::string> names;
  for (const auto& entry : root) {
    const std::string& key = Scalar(entry.first, "a key");
    if (key == "threads") {
      bool is_number = ParseOption(Scalar(entry.second, "a number"), settings.threads);
      if (!is_number || settings.threads < 1 || settings.threads > 16) {
        Fail(entry.second, "expected a whole number from 1 to 16");
      }
    } else if (key == "control") {
      settings.control = ReadEndpoint(entry.second);
    } else if (key == "backends") {
      if (!entry.second.IsSequence()) Fail(entry.second, "expected a list of backend servers");
      for (const YAML::Node& item : entry.second) {
        settings.backends.push_back(ReadBackend(item, defaults));
        if (!names.insert(settings.backends.back().name).second) Fail(item, "duplicate name");
      }
    } else if (key == "platform") {
      settings.platform = ReadPlatform(entry.second);
    } else if (key != "defaults") {
      Fail(entry.first, "expected threads, control, defaults, backends or platform");
    }
  }
  return settings;
}

absl::Status ErrorAt(const std::string& path, const YAML::Mark& mark, std::string_view message) {
  return absl::InvalidArgumentError(
      fmt::format("{}:{}:{}: {}", path, mark.line + 1, mark.column + 1, message));
}

}  // namespace

absl::StatusOr<StandinSettings> ParseStandinSettings(const std::string& text,
                                                     const std::string& path) {
  try {
    return Read(YAML::Load(text));
  } catch (const SettingsError& error) {
    return ErrorAt(path, error.mark, error.message);
  } catch (const YAML::Exception& error) {
    return ErrorAt(path, error.mark, error.msg);
  }
}

absl::StatusOr<StandinSettings> LoadStandinSettings(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    return absl::InvalidArgumentError(fmt::format("{}:1:1: expected a readable file", path));
  }
  return ParseStandinSettings(text.str(), path);
}

}  // namespace damaskroute::standins
