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

/// Parameters of a generated index: `records` records, similar to the accessions of a seed bank,
/// spread over the key space.
struct IndexSpec {
  std::uint64_t seed = 1;
  std::uint64_t records = 1000;
};

/// Record of a generated index with its JSON text.
struct IndexRow {
  std::uint32_t key = 0;
  std::string_view genus;
  double viability = 0;
  std::string json;  ///< Object with `key`, `id`, `genus`, `viability`, `index` (the version).
};

/// Filter of a shard query.
struct RowFilter {
  std::string genus;         ///< Empty: any genus.
  double min_viability = 0;  ///< From 0 to 1.
  std::uint64_t limit = UINT64_MAX;

  /// Parses `{"genus":"...","min_viability":0.5,"limit":10}`. All members are optional; unknown
  /// ones are ignored. Returns InvalidArgument if `json` has another form.
  static absl::StatusOr<RowFilter> Parse(std::string_view json);
};

/// Rows that a backend server holds of one index version. They depend on the spec and the version
/// only, so replicas in different processes hold equal rows.
class IndexRows {
 public:
  IndexRows(const IndexSpec& spec, IndexVersion version, const KeyRangeSet& held);

  const KeyRangeSet& held() const { return held_; }

  /// Overlap of `requested` with the first held range that intersects it; empty if there is none.
  KeyRange FirstHeldOverlap(const KeyRange& requested) const;

  /// JSON array of the rows in `range` that match `filter`, in key order.
  std::string Select(const RowFilter& filter, const KeyRange& range) const;

 private:
  KeyRangeSet held_;
  std::vector<IndexRow> rows_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_INDEX_ROWS_H_
