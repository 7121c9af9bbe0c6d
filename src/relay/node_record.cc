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
  if (record.changes) WriteText(writer, "changes", FormatEndpoint(*record.changes));
  writer.EndObject();
  return buffer.GetString();
}

absl::StatusOr<NodeRecord> ParseNodeRecord(std::string_view text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) return absl::InvalidArgumentError("a node's record is no JSON");
  auto zone = JsonText(document, "zone");
  if (!zone) return absl::InvalidArgumentError("a node's record has no zone");
  NodeRecord record;
  record.zone = *std::move(zone);
  if (FindJsonMember(document, "changes") == nullptr) return record;
  auto changes = JsonText(document, "changes");
  if (!changes) return absl::InvalidArgumentError("an address is not text");
  auto endpoint = ParseEndpoint(*changes);
  if (!endpoint.ok()) return endpoint.status();
  record.changes = *std::move(endpoint);
  return record;
}

}  // namespace damaskroute
