#include "damaskroute/intent/http_reply.h"

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute {

HttpReply ProblemReply(int status, const std::string& type, const std::string& title,
                       const std::string& detail, const std::string& next_step) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  auto text = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  text("type", type);
  text("title", title);
  writer.Key("status");
  writer.Int(status);
  text("detail", detail);
  text("next_step", next_step);
  writer.EndObject();
  return {status, "application/problem+json", buffer.GetString()};
}

}  // namespace damaskroute
