#include "damaskroute/log/log_line.h"

#include <chrono>
#include <cstdio>

#include "damaskroute/log/log_writer.h"
#include "fmt/chrono.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute {
namespace {

std::string WallClockText() {
  auto now = std::chrono::system_clock::now();
  auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

// Replaces bytes that are not valid UTF-8 by U+FFFD, so that every line is valid JSON.
std::string ReplaceInvalidUtf8(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size();) {
    auto lead = static_cast<unsigned char>(text[i]);
    std::size_t length = lead < 0x80             ? 1
                         : (lead & 0xe0) == 0xc0 ? 2
                         : (lead & 0xf0) == 0xe0 ? 3
                         : (lead & 0xf8) == 0xf0 ? 4
                                                 : 0;
    bool valid = length != 0 && i + length <= text.size();
    for (std::size_t k = 1; valid && k < length; ++k) {
      valid = (static_cast<unsigned char>(text[i + k]) & 0xc0) == 0x80;
    }
    if (valid) {
      out.append(text.substr(i, length));
      i += length;
    } else {
      out.append("\xef\xbf\xbd");
      ++i;
    }
  }
  return out;
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  std::string utf8 = ReplaceInvalidUtf8(text);
  writer.String(utf8.data(), static_cast<rapidjson::SizeType>(utf8.size()));
  out.append(buffer.GetString(), buffer.GetSize());
}

LogLine::LogLine(LogLevel level, std::string_view message) : enabled_(IsLogged(level)) {
  if (!enabled_) return;
  line_ =
      fmt::format(R"({{"time":"{}","level":"{}","message":)", WallClockText(), LogLevelName(level));
  AppendJsonString(line_, message);
}

LogLine::~LogLine() {
  if (!enabled_) return;
  line_ += "}\n";
  if (LogWriter* writer = GetLogWriter()) {
    writer->Append(line_);
  } else {
    fmt::print(stderr, "{}", line_);
  }
}

LogLine& LogLine::Field(std::string_view key, std::string_view value) {
  if (!enabled_) return *this;
  std::string json;
  AppendJsonString(json, value);
  AppendRaw(key, json);
  return *this;
}

void LogLine::AppendRaw(std::string_view key, std::string_view json) {
  line_ += ',';
  AppendJsonString(line_, key);
  line_ += ':';
  line_ += json;
}

}  // namespace damaskroute
