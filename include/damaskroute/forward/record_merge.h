#ifndef DAMASKROUTE_FORWARD_RECORD_MERGE_H_
#define DAMASKROUTE_FORWARD_RECORD_MERGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace damaskroute {

/// Size of an opaque record in bytes. A shorter remainder at the end of a part is ignored.
inline constexpr std::size_t kRecordSize = 16;

/// Returns the greatest `limit` records of all `parts` in descending bytewise order. Equal records
/// are all kept. The order of the records within a part does not matter.
std::string MergeRecords(const std::vector<std::string_view>& parts, std::size_t limit);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_RECORD_MERGE_H_
