#ifndef DAMASKROUTE_CORE_PRIORITY_H_
#define DAMASKROUTE_CORE_PRIORITY_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskroute {

/// Priority of a request. Lower values are served first.
enum class Priority : std::uint8_t { kUrgent = 0, kNormal = 1, kBulk = 2 };

/// Name used on the wire: `urgent`, `normal` or `bulk`.
std::string_view PriorityName(Priority priority);

/// Reverse of `PriorityName`; nullopt for any other text.
std::optional<Priority> ParsePriority(std::string_view name);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_PRIORITY_H_
