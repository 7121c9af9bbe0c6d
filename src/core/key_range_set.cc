#include "damaskroute/core/key_range_set.h"

#include <algorithm>

namespace damaskroute {

void KeyRangeSet::Add(const KeyRange& range) {
  if (range.IsEmpty()) return;
  KeyRange merged = range;
  std::vector<KeyRange> result;
  result.reserve(ranges_.size() + 1);
  auto it = ranges_.begin();
  for (; it != ranges_.end() && it->high < merged.low; ++it) result.push_back(*it);
  for (; it != ranges_.end() && it->low <= merged.high; ++it) {
    merged = {std::min(merged.low, it->low), std::max(merged.high, it->high)};
  }
  result.push_back(merged);
  result.insert(result.end(), it, ranges_.end());
  ranges_ = std::move(result);
}

void KeyRangeSet::Remove(const KeyRange& range) {
  if (range.IsEmpty()) return;
  std::vector<KeyRange> result;
  result.reserve(ranges_.size() + 1);
  for (const KeyRange& held : ranges_) {
    KeyRange left{held.low, std::min(held.high, range.low)};
    KeyRange right{std::max(held.low, range.high), held.high};
    if (!left.IsEmpty()) result.push_back(left);
    if (!right.IsEmpty()) result.push_back(right);
  }
  ranges_ = std::move(result);
}

bool KeyRangeSet::Covers(const KeyRange& range) const {
  if (range.IsEmpty()) return true;
  return std::any_of(ranges_.begin(), ranges_.end(),
                     [&](const KeyRange& held) { return held.Contains(range); });
}

std::uint64_t KeyRangeSet::Size() const {
  std::uint64_t size = 0;
  for (const KeyRange& held : ranges_) size += held.Size();
  return size;
}

double KeyRangeSet::Coverage() const {
  return static_cast<double>(Size()) / static_cast<double>(kKeySpaceSize);
}

std::vector<KeyRange> KeyRangeSet::MissingFrom(const KeyRange& within) const {
  std::vector<KeyRange> missing;
  std::uint64_t next = within.low;
  for (const KeyRange& held : ranges_) {
    if (held.high <= next) continue;
    if (held.low >= within.high) break;
    if (held.low > next) missing.push_back({next, held.low});
    next = held.high;
  }
  if (next < within.high) missing.push_back({next, within.high});
  return missing;
}

}  // namespace damaskroute
