#include "damaskroute/core/key_range.h"

#include <algorithm>
#include <charconv>

#include "fmt/format.h"

namespace damaskroute {

KeyRange Intersect(const KeyRange& a, const KeyRange& b) {
  return {std::max(a.low, b.low), std::min(a.high, b.high)};
}

std::string FormatKeyRange(const KeyRange& range) {
  return fmt::format("{}-{}", range.low, range.high);
}

std::optional<KeyRange> ParseKeyRange(std::string_view text) {
  KeyRange range;
  const char* end = text.data() + text.size();
  auto low = std::from_chars(text.data(), end, range.low);
  if (low.ec != std::errc() || low.ptr == end || *low.ptr != '-') return std::nullopt;
  auto high = std::from_chars(low.ptr + 1, end, range.high);
  if (high.ec != std::errc() || high.ptr != end) return std::nullopt;
  if (range.IsEmpty() || range.high > kKeySpaceSize) return std::nullopt;
  return range;
}

}  // namespace damaskroute
