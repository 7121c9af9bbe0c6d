#ifndef DAMASKROUTE_FORWARD_RECORD_MERGE_H_
#define DAMASKROUTE_FORWARD_RECORD_MERGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace damaskroute {

/// Size in bytes of an opaque record. The remainder of a part that is shorter is no record.
inline constexpr std::size_t kRecordSize = 16;

/// The greatest `limit` records of all `parts`, compared byte by byte, greatest first. Equal
/// records all count. The order of the records within a part does not matter.
std::string MergeRecords(const std::vector<std::string_view>& parts, std::size_t limit);

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_RECORD_MERGE_H_
