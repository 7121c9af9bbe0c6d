#include "damaskroute/intent/plan.h"

#include "damaskroute/core/json_writer.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

constexpr std::size_t kMaxSummaryBytes = 200;

void WriteConsequence(JsonWriter& writer, const ServiceConsequence& consequence) {
  writer.StartObject();
  WriteText(writer, "service", consequence.service);
  WriteInteger(writer, "slots_before", consequence.slots_before);
  WriteInteger(writer, "slots_after", consequence.slots_after);
  WriteInteger(writer, "connections_to_open", consequence.connections_to_open);
  writer.Key("busy_slots");
  writer.Double(consequence.busy_slots);
  writer.Key("busy_measured");
  writer.Bool(consequence.busy_measured);
  writer.Key("zones");
  writer.StartArray();
  for (const ZoneCapacity& zone : consequence.zones) {
    writer.StartObject();
    WriteText(writer, "zone", zone.zone);
    WriteInteger(writer, "slots_before", zone.slots_before);
    WriteInteger(writer, "slots_after", zone.slots_after);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
}

}  // namespace

std::string PlanSummary(const Plan& plan) {
  std::string summary;
  std::size_t shown = 0;
  for (const ConfigChange& change : plan.differences) {
    // Reserves 24 bytes for the number of differences that are not shown.
    if (summary.size() + change.text.size() + 2 > kMaxSummaryBytes - 24) break;
    if (!summary.empty()) summary += "; ";
    summary += change.text;
    ++shown;
  }
  std::size_t rest = plan.differences.size() - shown;
  if (rest > 0) summary += fmt::format("{}{} more", summary.empty() ? "" : "; ", rest);
  return summary;
}

std::string PlanJson(const Plan& plan) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteText(writer, "id", plan.id);
  WriteInteger(writer, "base_revision", static_cast<std::int64_t>(plan.base_revision));
  writer.Key("needs_override");
  writer.Bool(plan.needs_override);
  writer.Key("differences");
  writer.StartArray();
  for (const ConfigChange& change : plan.differences) {
    writer.StartObject();
    WriteText(writer, "kind", ChangeKindName(change.kind));
    WriteText(writer, "subject", change.subject);
    WriteText(writer, "text", change.text);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("consequences");
  writer.StartArray();
  for (const ServiceConsequence& entry : plan.consequences) WriteConsequence(writer, entry);
  writer.EndArray();
  writer.Key("warnings");
  writer.StartArray();
  for (const std::string& warning : plan.warnings) {
    writer.String(warning.data(), static_cast<rapidjson::SizeType>(warning.size()));
  }
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace damaskroute
