#ifndef DAMASKROUTE_CTL_JSON_TABLE_H_
#define DAMASKROUTE_CTL_JSON_TABLE_H_

#include <string>

namespace damaskroute {

/// Formats a JSON object for a terminal: `key: value` lines, then each list of objects as a table
/// whose columns are the members of the first object, and other lists with one entry per line.
/// Nested values are compact JSON. Control characters are replaced to prevent injection of terminal
/// escape sequences. Text that is not a JSON object is returned unchanged but for this replacement.
std::string JsonTable(const std::string& json);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CTL_JSON_TABLE_H_
