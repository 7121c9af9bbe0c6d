#ifndef DAMASKROUTE_LOG_LOG_LINE_H_
#define DAMASKROUTE_LOG_LOG_LINE_H_

#include <concepts>
#include <string>
#include <string_view>

#include "damaskroute/log/log_level.h"
#include "fmt/format.h"

namespace damaskroute {

/// One log line, a JSON object. The destructor passes the whole line to the `LogWriter` if one is
/// set, otherwise to standard error:
///
///     LogLine(LogLevel::kInfo, "configuration installed").Field("revision", 7);
///
/// writes `{"time":"2026-01-31T12:00:00.000Z","level":"info","message":"configuration
/// installed","revision":7}`.
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view message);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// Adds a string field.
  LogLine& Field(std::string_view key, std::string_view value);

  /// Adds a numeric field.
  template <typename T>
  requires(std::integral<T> || std::floating_point<T>) LogLine& Field(std::string_view key,
                                                                      T value) {
    if (enabled_) AppendRaw(key, fmt::format("{}", value));
    return *this;
  }

 private:
  void AppendRaw(std::string_view key, std::string_view json);

  bool enabled_;
  std::string line_;
};

/// Appends `text` to `out` as a quoted JSON string. Bytes that are not valid UTF-8 are replaced by
/// U+FFFD.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_LOG_LOG_LINE_H_
