#ifndef DAMASKROUTE_CORE_KEY_RANGE_H_
#define DAMASKROUTE_CORE_KEY_RANGE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskroute {

/// Number of keys in the key space, which is [0, kKeySpaceSize).
inline constexpr std::uint64_t kKeySpaceSize = std::uint64_t{1} << 32;

/// Half-open range of keys [low, high).
struct KeyRange {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  bool IsEmpty() const { return low >= high; }
  std::uint64_t Size() const { return IsEmpty() ? 0 : high - low; }
  bool Contains(const KeyRange& other) const { return low <= other.low && other.high <= high; }

  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
};

/// The whole key space.
inline constexpr KeyRange kWholeKeySpace{0, kKeySpaceSize};

/// Intersection of both ranges; empty if they do not overlap.
KeyRange Intersect(const KeyRange& a, const KeyRange& b);

/// Text form `low-high`, decimal, as in the `Damask-Range` header.
std::string FormatKeyRange(const KeyRange& range);

/// Parses the text form. nullopt unless low < high <= kKeySpaceSize.
std::optional<KeyRange> ParseKeyRange(std::string_view text);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_KEY_RANGE_H_
