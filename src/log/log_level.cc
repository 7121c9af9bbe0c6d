#include "damaskroute/log/log_level.h"

#include <atomic>

namespace damaskroute {
namespace {

std::atomic<LogLevel> minimum_level{LogLevel::kInfo};

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (LogLevel level : {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError}) {
    if (LogLevelName(level) == name) return level;
  }
  return std::nullopt;
}

void SetLogLevel(LogLevel level) { minimum_level.store(level, std::memory_order_relaxed); }

bool IsLogged(LogLevel level) { return level >= minimum_level.load(std::memory_order_relaxed); }

}  // namespace damaskroute
