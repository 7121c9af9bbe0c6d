#ifndef DAMASKROUTE_CTL_JSON_TABLE_H_
#define DAMASKROUTE_CTL_JSON_TABLE_H_

#include <string>

namespace damaskroute {

/// JSON object as readable text: `key: value` lines, then each list of objects as a table with
/// the members of its first object as columns, and other lists one entry on a line. Nested values
/// appear as compact JSON. Control characters are replaced, so that text from elsewhere cannot
/// steer the terminal. Text that is not a JSON object is returned with that replacement only.
std::string JsonTable(const std::string& json);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CTL_JSON_TABLE_H_
