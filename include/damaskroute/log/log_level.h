#ifndef DAMASKROUTE_LOG_LOG_LEVEL_H_
#define DAMASKROUTE_LOG_LOG_LEVEL_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskroute {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Name in log lines and settings: `debug`, `info`, `warning` or `error`.
std::string_view LogLevelName(LogLevel level);

/// Reverse of `LogLevelName`; nullopt for any other text.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

/// Sets the minimum level; lines below it are discarded. Takes effect immediately in all threads.
void SetLogLevel(LogLevel level);

/// Whether lines of this level are written.
bool IsLogged(LogLevel level);

}  // namespace damaskroute

#endif  // DAMASKROUTE_LOG_LOG_LEVEL_H_
