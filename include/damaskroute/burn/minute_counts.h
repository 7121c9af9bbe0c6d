#ifndef DAMASKROUTE_BURN_MINUTE_COUNTS_H_
#define DAMASKROUTE_BURN_MINUTE_COUNTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/config/objective.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Numbers of queries of one front in one minute. Each query is counted in exactly one field.
struct MinuteCounts {
  std::uint64_t good = 0;             ///< Complete and in time.
  std::uint64_t late = 0;             ///< Complete, but late.
  std::uint64_t incomplete = 0;       ///< Incomplete, but in time.
  std::uint64_t late_incomplete = 0;  ///< Late and incomplete.

  std::uint64_t total() const { return good + late + incomplete + late_incomplete; }
};

/// Input of the burn report for one front.
struct FrontCounters {
  FrontName front;
  std::string customer;
  Objective objective;
  /// One entry per minute, oldest first; the last one is the latest full minute. Covers at most the
  /// budget period.
  std::vector<MinuteCounts> minutes;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_BURN_MINUTE_COUNTS_H_
