#ifndef DAMASKROUTE_CORE_KEY_RANGE_SET_H_
#define DAMASKROUTE_CORE_KEY_RANGE_SET_H_

#include <cstdint>
#include <vector>

#include "damaskroute/core/key_range.h"

namespace damaskroute {

/// Set of keys, stored as sorted, disjoint, non-adjacent ranges. A key that is added twice counts
/// once, so the size of the set never overstates the coverage.
class KeyRangeSet {
 public:
  /// Adds all keys of `range`. Empty ranges are ignored.
  void Add(const KeyRange& range);

  /// Removes all keys of `range`.
  void Remove(const KeyRange& range);

  /// Whether every key of `range` is in the set.
  bool Covers(const KeyRange& range) const;

  /// Number of keys in the set.
  std::uint64_t Size() const;

  /// Fraction of the key space in the set, 0 to 1.
  double Coverage() const;

  /// Ranges of `within` that are not in the set, in ascending order.
  std::vector<KeyRange> MissingFrom(const KeyRange& within) const;

  /// The ranges of the set in ascending order.
  const std::vector<KeyRange>& ranges() const { return ranges_; }

 private:
  std::vector<KeyRange> ranges_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_KEY_RANGE_SET_H_
