#include "damaskroute/node/backend_health.h"

#include <algorithm>
#include <string>

#include "rapidjson/document.h"

namespace damaskroute {
namespace {

// A backend server that reports more is faulty; the limit bounds the memory that its reports take
// on the peers.
constexpr std::size_t kMaxHeldRanges = 1024;

absl::Status ReadVersion(const rapidjson::Value& entry, BackendHealth& health) {
  if (!entry.IsObject() || !entry.HasMember("version") || !entry["version"].IsUint64() ||
      !entry.HasMember("ranges") || !entry["ranges"].IsArray()) {
    return absl::InvalidArgumentError("versions: expected objects with version and ranges");
  }
  for (const auto& item : entry["ranges"].GetArray()) {
    auto range = item.IsString() ? ParseKeyRange(item.GetString()) : std::nullopt;
    if (!range) return absl::InvalidArgumentError("ranges: expected texts of the form LOW-HIGH");
    if (health.held.size() == kMaxHeldRanges) {
      return absl::InvalidArgumentError("too many ranges");
    }
    health.held.push_back({entry["version"].GetUint64(), *range});
  }
  return absl::OkStatus();
}

}  // namespace

BackendState ParseBackendState(std::string_view text) {
  if (text == "warm") return BackendState::kWarm;
  if (text == "cold") return BackendState::kCold;
  if (text == "draining") return BackendState::kDraining;
  return BackendState::kUnknown;
}

absl::StatusOr<BackendHealth> ParseBackendHealth(std::string_view body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) {
    return absl::InvalidArgumentError("expected a JSON object");
  }
  auto has = [&](const char* name) { return document.HasMember(name); };
  if (!has("state") || !document["state"].IsString() || !has("boot_id") ||
      !document["boot_id"].IsUint64() || !has("versions") || !document["versions"].IsArray()) {
    return absl::InvalidArgumentError("expected state, boot_id and versions");
  }
  BackendHealth health;
  health.state = ParseBackendState(document["state"].GetString());
  health.boot_id = document["boot_id"].GetUint64();
  for (const auto& entry : document["versions"].GetArray()) {
    absl::Status status = ReadVersion(entry, health);
    if (!status.ok()) return status;
  }
  std::sort(health.held.begin(), health.held.end(), [](const HeldRange& a, const HeldRange& b) {
    return std::tie(a.version, a.range) < std::tie(b.version, b.range);
  });
  return health;
}

}  // namespace damaskroute
