#ifndef DAMASKROUTE_API_ROWS_H_
#define DAMASKROUTE_API_ROWS_H_

#include <optional>
#include <string>
#include <string_view>

namespace damaskroute {

/// Checks that `body` is a single JSON array and returns its elements without the enclosing
/// brackets, so that the rows of several shards can be joined with commas. Returns an empty string
/// for an empty array, and nullopt for any other body, which would corrupt the caller's response.
std::optional<std::string> ExtractRows(std::string_view body);

}  // namespace damaskroute

#endif  // DAMASKROUTE_API_ROWS_H_
