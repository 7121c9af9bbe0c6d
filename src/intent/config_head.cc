#include "damaskroute/intent/config_head.h"

#include "damaskroute/core/json_member.h"
#include "rapidjson/document.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::system_clock;

bool ReadText(const rapidjson::Value& object, const char* key, std::string& text) {
  auto value = FindJsonString(object, key);
  if (!value) return false;
  text = *std::move(value);
  return true;
}

bool ReadEntry(const rapidjson::Value& object, HeadEntry& entry) {
  if (!object.IsObject() || !ReadText(object, "change_id", entry.change_id) ||
      !ReadText(object, "manifest", entry.manifest) ||
      !ReadText(object, "summary", entry.summary)) {
    return false;
  }
  auto revision = object.FindMember("revision");
  auto time = object.FindMember("committed_at_ms");
  if (revision == object.MemberEnd() || !revision->value.IsUint64() || time == object.MemberEnd() ||
      !time->value.IsInt64()) {
    return false;
  }
  entry.revision = revision->value.GetUint64();
  entry.committed_at = system_clock::time_point(milliseconds(time->value.GetInt64()));
  return true;
}

}  // namespace

const HeadEntry* ConfigHead::Find(Revision revision) const {
  if (entries.empty() || revision < entries.front().revision || revision > this->revision()) {
    return nullptr;
  }
  return &entries[revision - entries.front().revision];
}

std::string EncodeHead(const ConfigHead& head) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  auto text = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartArray();
  for (const HeadEntry& entry : head.entries) {
    writer.StartObject();
    writer.Key("revision");
    writer.Uint64(entry.revision);
    text("change_id", entry.change_id);
    text("manifest", entry.manifest);
    writer.Key("committed_at_ms");
    writer.Int64(duration_cast<milliseconds>(entry.committed_at.time_since_epoch()).count());
    text("summary", entry.summary);
    writer.EndObject();
  }
  writer.EndArray();
  return buffer.GetString();
}

absl::StatusOr<ConfigHead> DecodeHead(std::string_view text) {
  absl::Status invalid = absl::InvalidArgumentError("the configuration head is malformed");
  rapidjson::Document document;
  // Iterative parsing, so that deeply nested input cannot exhaust the stack.
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsArray() || document.Size() > kMaxHeadEntries) {
    return invalid;
  }
  ConfigHead head;
  for (const rapidjson::Value& value : document.GetArray()) {
    HeadEntry entry;
    if (!ReadEntry(value, entry)) return invalid;
    bool is_successor =
        head.entries.empty() ? entry.revision > 0 : entry.revision == head.revision() + 1;
    if (!is_successor) return invalid;
    head.entries.push_back(std::move(entry));
  }
  return head;
}

}  // namespace damaskroute
