#include "damaskroute/config/config_json.h"

#include "damaskroute/core/json_writer.h"
#include "damaskroute/settings/yaml_reader.h"

namespace damaskroute {
namespace {

void WriteZone(JsonWriter& writer, const Zone& zone) {
  writer.StartObject();
  WriteText(writer, "name", zone.name);
  // An empty region means that none is declared; a declaration cannot contain an empty name.
  if (!zone.region.empty()) WriteText(writer, "region", zone.region);
  WriteText(writer, "state", zone.state == ZoneState::kOut ? "out" : "serving");
  writer.EndObject();
}

void WriteService(JsonWriter& writer, const Service& service) {
  writer.StartObject();
  WriteText(writer, "name", service.name);
  WriteText(writer, "customer", service.customer);
  WriteText(writer, "warm_up", FormatSpan(service.warm_up));
  writer.Key("backends");
  writer.StartArray();
  for (const BackendServer& backend : service.backends) {
    writer.StartObject();
    WriteText(writer, "name", backend.name);
    WriteText(writer, "zone", backend.zone);
    WriteText(writer, "address", FormatEndpoint(backend.endpoint));
    WriteInteger(writer, "slots", backend.slots);
    WriteInteger(writer, "cold_slots", backend.cold_slots);
    WriteInteger(writer, "connections", backend.connections);
    WriteText(writer, "intent", backend.intent == BackendIntent::kLeaving ? "leaving" : "serving");
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
}

void WriteFront(JsonWriter& writer, const SearchFront& front) {
  writer.StartObject();
  WriteText(writer, "name", front.name);
  WriteText(writer, "service", front.service);
  WriteText(writer, "default_deadline", FormatSpan(front.default_deadline));
  writer.Key("objective");
  writer.StartObject();
  WriteText(writer, "latency", FormatSpan(front.objective.latency));
  writer.Key("latency_ratio");
  writer.Double(front.objective.latency_ratio);
  writer.Key("coverage_ratio");
  writer.Double(front.objective.coverage_ratio);
  writer.EndObject();
  writer.EndObject();
}

template <typename T, typename WriteEntry>
void WriteList(JsonWriter& writer, const char* key, const std::vector<T>& entries,
               WriteEntry write_entry) {
  writer.Key(key);
  writer.StartArray();
  for (const T& entry : entries) write_entry(writer, entry);
  writer.EndArray();
}

}  // namespace

std::string ConfigJson(const ConfigDocument& document) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteList(writer, "zones", document.zones, WriteZone);
  WriteList(writer, "services", document.services, WriteService);
  WriteList(writer, "fronts", document.fronts, WriteFront);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace damaskroute
