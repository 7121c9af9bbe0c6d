#ifndef DAMASKROUTE_CORE_JSON_WRITER_H_
#define DAMASKROUTE_CORE_JSON_WRITER_H_

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string_view>

namespace damaskroute {

/// Writes JSON text to a `rapidjson::StringBuffer`.
using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes a member with a string value.
inline void WriteText(JsonWriter& writer, const char* key, std::string_view value) {
  writer.Key(key);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

/// Writes a member with an integer value.
inline void WriteInteger(JsonWriter& writer, const char* key, std::int64_t value) {
  writer.Key(key);
  writer.Int64(value);
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_JSON_WRITER_H_
