#ifndef STANDINS_INDEX_ROWS_H_
#define STANDINS_INDEX_ROWS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/ids.h"
#include "damaskroute/core/key_range.h"
#include "damaskroute/core/key_range_set.h"

namespace damaskroute::standins {

/// Describes a generated index: `records` accession-like records spread over the key space.
struct IndexSeed {
  std::uint64_t seed = 1;
  std::uint64_t records = 1000;
};

/// Record of the generated index with its JSON text.
struct IndexRow {
  std::uint32_t key = 0;
  std::string_view genus;
  double viability = 0;
  std::string json;  ///< Object with `key`, `id`, `genus`, `viability`, `index` (the version).
};

/// Filter of a shard query.
struct RowFilter {
  std::string genus;         ///< Empty accepts all.
  double min_viability = 0;  ///< 0 to 1.
  std::uint64_t limit = UINT64_MAX;

  /// Parses `{"genus":"...","min_viability":0.5,"limit":10}`, all members optional and others
  /// ignored. InvalidArgument if it is not such an object.
  static absl::StatusOr<RowFilter> Parse(std::string_view json);
};

/// Rows of one index version that a backend server holds. Equal seeds and versions give equal
/// rows in each process, so replicas agree.
class IndexRows {
 public:
  IndexRows(const IndexSeed& seed, IndexVersion version, const KeyRangeSet& held);

  const KeyRangeSet& held() const { return held_; }

  /// First part of `asked` that is held; empty if nothing is.
  KeyRange HeldPart(const KeyRange& asked) const;

  /// JSON array of the matching rows in `range`, in key order.
  std::string Select(const RowFilter& filter, const KeyRange& range) const;

 private:
  KeyRangeSet held_;
  std::vector<IndexRow> rows_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_INDEX_ROWS_H_
