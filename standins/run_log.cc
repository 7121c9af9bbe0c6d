#include "standins/run_log.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace damaskroute::standins {
namespace {

void WriteText(rapidjson::Writer<rapidjson::StringBuffer>& writer, const std::string& text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

}  // namespace

void RunLog::CountWire(const std::string& request_id, std::uint64_t length) {
  if (length == 0) return;
  if (++wire_[request_id] > 1) return;
  wire_order_.push_back(request_id);
  while (wire_order_.size() > length) {
    wire_.erase(wire_order_.front());
    wire_order_.pop_front();
  }
}

std::uint64_t RunLog::AddAction(const std::string& action_id, std::uint32_t attempt,
                                const std::string& request_id) {
  actions_.push_back({action_id, attempt, request_id});
  return ++action_runs_[action_id];
}

std::uint64_t RunLog::WireCount(const std::string& request_id) const {
  auto it = wire_.find(request_id);
  return it == wire_.end() ? 0 : it->second;
}

std::uint64_t RunLog::RunCount(const std::string& action_id) const {
  auto it = action_runs_.find(action_id);
  return it == action_runs_.end() ? 0 : it->second;
}

std::string RunLog::ToJson() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("actions");
  writer.StartArray();
  for (const ActionRun& run : actions_) {
    writer.StartObject();
    writer.Key("action_id");
    WriteText(writer, run.action_id);
    writer.Key("attempt");
    writer.Uint(run.attempt);
    writer.Key("request_id");
    WriteText(writer, run.request_id);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("wire");
  writer.StartObject();
  for (const std::string& request_id : wire_order_) {
    writer.Key(request_id.data(), static_cast<rapidjson::SizeType>(request_id.size()));
    writer.Uint64(wire_.at(request_id));
  }
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace damaskroute::standins
