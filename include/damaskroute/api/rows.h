#ifndef DAMASKROUTE_API_ROWS_H_
#define DAMASKROUTE_API_ROWS_H_

#include <optional>
#include <string>
#include <string_view>

namespace damaskroute {

/// Checks that `body` is one JSON array and returns its elements without the enclosing brackets,
/// so that the rows of many shards can be joined with commas. Empty text for an empty array;
/// nullopt if the body is anything else, as it would corrupt the caller's answer.
std::optional<std::string> ExtractRows(std::string_view body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_ROWS_H_
