#include "damaskroute/forward/record_merge.h"

#include <algorithm>
#include <functional>

namespace damaskroute {

std::string MergeRecords(const std::vector<std::string_view>& parts, std::size_t limit) {
  std::vector<std::string_view> records;
  std::size_t count = 0;
  for (std::string_view part : parts) count += part.size() / kRecordSize;
  records.reserve(count);
  for (std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordSize <= part.size(); at += kRecordSize) {
      records.push_back(part.substr(at, kRecordSize));
    }
  }
  std::size_t kept = std::min(limit, records.size());
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordSize);
  for (std::size_t i = 0; i < kept; ++i) merged.append(records[i]);
  return merged;
}

}  // namespace damaskroute
