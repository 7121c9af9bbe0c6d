#include "damaskroute/core/priority.h"

namespace damaskroute {

std::string_view PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kUrgent:
      return "urgent";
    case Priority::kNormal:
      return "normal";
    case Priority::kBulk:
      return "bulk";
  }
  return "normal";
}

std::optional<Priority> ParsePriority(std::string_view name) {
  for (Priority priority : {Priority::kUrgent, Priority::kNormal, Priority::kBulk}) {
    if (PriorityName(priority) == name) return priority;
  }
  return std::nullopt;
}

}  // namespace damaskroute
