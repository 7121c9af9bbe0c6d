#include "damaskroute/relay/node_record.h"

#include <rapidjson/document.h>

#include "damaskroute/core/json_member.h"
#include "damaskroute/core/json_writer.h"

namespace damaskroute {

std::string RenderNodeRecord(const NodeRecord& record) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteText(writer, "zone", record.zone);
  if (record.relay_endpoint) WriteText(writer, "changes", FormatEndpoint(*record.relay_endpoint));
  writer.EndObject();
  return buffer.GetString();
}

absl::StatusOr<NodeRecord> ParseNodeRecord(std::string_view text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    return absl::InvalidArgumentError("the node record is not valid JSON");
  }
  auto zone = FindJsonString(document, "zone");
  if (!zone) return absl::InvalidArgumentError("the node record has no zone");
  NodeRecord record;
  record.zone = *std::move(zone);
  if (FindJsonMember(document, "changes") == nullptr) return record;
  auto address = FindJsonString(document, "changes");
  if (!address) return absl::InvalidArgumentError("the address in the node record is not a string");
  auto endpoint = ParseEndpoint(*address);
  if (!endpoint.ok()) return endpoint.status();
  record.relay_endpoint = *std::move(endpoint);
  return record;
}

}  // namespace damaskroute
