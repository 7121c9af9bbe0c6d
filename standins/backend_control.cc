#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>
#include <string_view>
#include <vector>

#include "damaskroute/core/hash.h"
#include "damaskroute/core/json_member.h"
#include "fmt/format.h"
#include "standins/backend_core.h"
#include "standins/control_message.h"

namespace damaskroute::standins {
namespace {

// Converts a JSON scalar to the text form that settings files use for it.
std::string ScalarText(const rapidjson::Value& value) {
  if (value.IsString()) return value.GetString();
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

bool ReadFaultRule(const rapidjson::Value& value, FaultRule& rule) {
  if (value.IsNumber()) {
    rule.probability = value.GetDouble();
    return rule.probability >= 0 && rule.probability <= 1;
  }
  return value.IsObject() &&
         VisitJsonMembers(value, [&](std::string_view name, const rapidjson::Value& member) {
           if (name == "next" && member.IsUint64()) {
             rule.next = member.GetUint64();
             return true;
           }
           if (name != "probability" || !member.IsNumber()) return false;
           rule.probability = member.GetDouble();
           return rule.probability >= 0 && rule.probability <= 1;
         });
}

absl::Status ReadFaults(const rapidjson::Value& value, FaultRules& faults) {
  if (!value.IsObject()) return absl::InvalidArgumentError("faults: expected an object");
  absl::Status status;
  VisitJsonMembers(value, [&](std::string_view name, const rapidjson::Value& member) {
    auto fault = ParseFault(name);
    FaultRule rule;
    if (!fault || !ReadFaultRule(member, rule)) {
      status = absl::InvalidArgumentError(
          fmt::format("faults: {}: unknown fault or malformed rule", name));
      return false;
    }
    faults.Set(*fault, rule);
    return true;
  });
  return status;
}

bool ReadRanges(const rapidjson::Value& value, std::vector<KeyRange>& ranges) {
  if (!value.IsArray()) return false;
  for (const auto& item : value.GetArray()) {
    auto range = item.IsString() ? ParseKeyRange(item.GetString()) : std::nullopt;
    if (!range) return false;
    ranges.push_back(*range);
  }
  return true;
}

}  // namespace

absl::Status BackendCore::Control(std::string_view json) {
  absl::Status status =
      ApplyControlMessage(json, [this](std::string_view name, const rapidjson::Value& value) {
        return ApplyControlMember(name, value);
      });
  if (!status.ok()) return status;
  if (server_) server_->options() = {options_.connections, options_.connect_cost};
  RunWaiting();
  return absl::OkStatus();
}

absl::Status BackendCore::ApplyControlMember(std::string_view name, const rapidjson::Value& value) {
  if (name == "faults") return ReadFaults(value, faults_);
  if (name == "publish") return ApplyPublish(value);
  if (name == "retire") {
    if (!value.IsUint64()) return absl::InvalidArgumentError("retire: expected a version");
    versions_.erase(value.GetUint64());
    return absl::OkStatus();
  }
  bool is_command = name == "turn_cold" || name == "turn_warm" || name == "crash";
  if (!is_command && name != "drain") {
    absl::Status status = SetBackendOption(options_, name, ScalarText(value));
    if (status.ok() && name == "seed") random_ = Random(Hash64(name_, options_.seed));
    return status;
  }
  if (!value.IsBool() || (is_command && !value.GetBool())) {
    return absl::InvalidArgumentError(fmt::format("{}: expected true", name));
  }
  if (name == "drain") {
    draining_ = value.GetBool();
  } else if (name == "turn_cold") {
    TurnCold();
  } else if (name == "turn_warm") {
    cold_ = false;
  } else if (!down_) {
    Crash();
  }
  return absl::OkStatus();
}

absl::Status BackendCore::ApplyPublish(const rapidjson::Value& value) {
  const rapidjson::Value* version = FindJsonMember(value, "version");
  const rapidjson::Value* ranges = FindJsonMember(value, "ranges");
  std::vector<KeyRange> parsed;
  if (version != nullptr && version->IsUint64() && ranges != nullptr &&
      ReadRanges(*ranges, parsed) && value.MemberCount() == 2) {
    Publish(version->GetUint64(), parsed);
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError("publish: expected {version, ranges: [low-high, ...]}");
}

}  // namespace damaskroute::standins
