#include "damaskroute/relay/node_record.h"

#include <rapidjson/document.h>

#include <utility>

#include "damaskroute/core/json_member.h"
#include "damaskroute/core/json_writer.h"

namespace damaskroute {

std::string RenderNodeRecord(const NodeRecord& record) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteText(writer, "zone", record.zone);
  if (record.relay_endpoint) WriteText(writer, "changes", FormatEndpoint(*record.relay_endpoint));
  if (record.peer_endpoint) WriteText(writer, "requests", FormatEndpoint(*record.peer_endpoint));
  if (record.quota_endpoint) WriteText(writer, "quotas", FormatEndpoint(*record.quota_endpoint));
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
  for (auto [name, field] :
       {std::pair("changes", &record.relay_endpoint), std::pair("requests", &record.peer_endpoint),
        std::pair("quotas", &record.quota_endpoint)}) {
    if (FindJsonMember(document, name) == nullptr) continue;
    auto address = FindJsonString(document, name);
    if (!address) return absl::InvalidArgumentError("an address in the node record is no string");
    auto endpoint = ParseEndpoint(*address);
    if (!endpoint.ok()) return endpoint.status();
    *field = *std::move(endpoint);
  }
  return record;
}

}  // namespace damaskroute
