#include "standins/run_log.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace damaskroute::standins {
namespace {

void WriteText(rapidjson::Writer<rapidjson::StringBuffer>& writer, const std::string& text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

}  // namespace

void RunLog::RecordRequest(const std::string& request_id, std::uint64_t length) {
  if (length == 0) return;
  if (++request_counts_[request_id] > 1) return;
  request_order_.push_back(request_id);
  while (request_order_.size() > length) {
    request_counts_.erase(request_order_.front());
    request_order_.pop_front();
  }
}

std::uint64_t RunLog::RecordActionRun(const std::string& action_id, std::uint32_t attempt,
                                      const std::string& request_id) {
  actions_.push_back({action_id, attempt, request_id});
  return ++action_runs_[action_id];
}

std::uint64_t RunLog::RequestCount(const std::string& request_id) const {
  auto it = request_counts_.find(request_id);
  return it == request_counts_.end() ? 0 : it->second;
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
  for (const std::string& request_id : request_order_) {
    writer.Key(request_id.data(), static_cast<rapidjson::SizeType>(request_id.size()));
    writer.Uint64(request_counts_.at(request_id));
  }
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace damaskroute::standins
