#include "damaskroute/intent/plan_request.h"

#include <optional>

#include "damaskroute/core/json_member.h"
#include "damaskroute/core/json_writer.h"
#include "rapidjson/document.h"

namespace damaskroute {
namespace {

constexpr char kExpected[] =
    "expected a JSON object with files (name, text), or zone and state (serving, out), or backend "
    "and intent (serving, leaving), or rollback_to";

struct RequestWriter {
  JsonWriter& writer;

  void operator()(const std::vector<DeclarationFile>& files) const {
    writer.Key("files");
    writer.StartArray();
    for (const DeclarationFile& file : files) {
      writer.StartObject();
      WriteText(writer, "name", file.name);
      WriteText(writer, "text", file.text);
      writer.EndObject();
    }
    writer.EndArray();
  }
  void operator()(const ZoneRequest& request) const {
    WriteText(writer, "zone", request.zone);
    WriteText(writer, "state", request.state == ZoneState::kOut ? "out" : "serving");
  }
  void operator()(const BackendRequest& request) const {
    WriteText(writer, "backend", request.backend);
    WriteText(writer, "intent", request.intent == BackendIntent::kLeaving ? "leaving" : "serving");
  }
  void operator()(const RollbackRequest& request) const {
    writer.Key("rollback_to");
    writer.Uint64(request.revision);
  }
};

void WriteRequest(JsonWriter& writer, const PlanRequest& request) {
  writer.StartObject();
  std::visit(RequestWriter{writer}, request);
  writer.EndObject();
}

std::optional<PlanRequest> ReadFiles(const rapidjson::Value& list) {
  if (!list.IsArray()) return std::nullopt;
  std::vector<DeclarationFile> files;
  for (const rapidjson::Value& entry : list.GetArray()) {
    if (!entry.IsObject()) return std::nullopt;
    std::optional<std::string> name = FindJsonString(entry, "name");
    std::optional<std::string> text = FindJsonString(entry, "text");
    if (!name.has_value() || !text.has_value() || entry.MemberCount() != 2) return std::nullopt;
    files.push_back({*std::move(name), *std::move(text)});
  }
  return files;
}

std::optional<PlanRequest> ReadRequest(const rapidjson::Value& object) {
  if (!object.IsObject()) return std::nullopt;
  auto files = object.FindMember("files");
  auto rollback = object.FindMember("rollback_to");
  if (object.MemberCount() == 1 && files != object.MemberEnd()) return ReadFiles(files->value);
  if (object.MemberCount() == 1 && rollback != object.MemberEnd()) {
    if (!rollback->value.IsUint64()) return std::nullopt;
    return RollbackRequest{rollback->value.GetUint64()};
  }
  if (object.MemberCount() != 2) return std::nullopt;
  std::optional<std::string> zone = FindJsonString(object, "zone");
  std::optional<std::string> state = FindJsonString(object, "state");
  if (zone.has_value() && (state == "out" || state == "serving")) {
    return ZoneRequest{*zone, state == "out" ? ZoneState::kOut : ZoneState::kServing};
  }
  std::optional<std::string> backend = FindJsonString(object, "backend");
  std::optional<std::string> intent = FindJsonString(object, "intent");
  if (backend.has_value() && (intent == "leaving" || intent == "serving")) {
    return BackendRequest{*backend,
                          intent == "leaving" ? BackendIntent::kLeaving : BackendIntent::kServing};
  }
  return std::nullopt;
}

}  // namespace

std::string PlanRequestJson(const PlanRequest& request) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  WriteRequest(writer, request);
  return buffer.GetString();
}

absl::StatusOr<PlanRequest> ParsePlanRequest(const std::string& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError()) return absl::InvalidArgumentError(kExpected);
  std::optional<PlanRequest> request = ReadRequest(document);
  if (!request.has_value()) return absl::InvalidArgumentError(kExpected);
  return *std::move(request);
}

std::string ConfirmRequestJson(const ConfirmRequest& request) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("override");
  writer.Bool(request.override_warnings);
  if (request.has_request) {
    writer.Key("request");
    WriteRequest(writer, request.request);
  }
  writer.EndObject();
  return buffer.GetString();
}

absl::StatusOr<ConfirmRequest> ParseConfirmRequest(const std::string& body) {
  ConfirmRequest result;
  if (body.empty()) return result;
  absl::Status invalid =
      absl::InvalidArgumentError("expected a JSON object with override (boolean) and request");
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) return invalid;
  const rapidjson::Value& object = document;
  for (auto member = object.MemberBegin(); member != object.MemberEnd(); ++member) {
    std::string key(member->name.GetString(), member->name.GetStringLength());
    if (key == "override" && member->value.IsBool()) {
      result.override_warnings = member->value.GetBool();
    } else if (key == "request") {
      std::optional<PlanRequest> request = ReadRequest(member->value);
      if (!request.has_value()) return absl::InvalidArgumentError(kExpected);
      result.has_request = true;
      result.request = *std::move(request);
    } else {
      return invalid;
    }
  }
  return result;
}

}  // namespace damaskroute
