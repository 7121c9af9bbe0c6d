#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_RESULT_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_RESULT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute::bench {

/// Outcome of one query.
struct QuerySample {
  std::chrono::milliseconds scheduled{0};  ///< Arrival, from the end of the warm-up.
  Duration latency{};  ///< From the scheduled arrival, not from the time of sending.
  bool urgent = false;
  int status = 0;  ///< HTTP status, 0 if there was no answer.
  double coverage = 0;
  std::string verdict;
};

/// All samples of a run and the statistics computed from them.
struct LoadResult {
  std::vector<QuerySample> samples;

  /// Latency quantile of the answered queries, or only of the urgent ones among them.
  Duration Quantile(double quantile, bool urgent_only = false) const;

  /// Number of queries answered with status 200.
  std::uint64_t CountAnswered() const;

  /// Number of queries answered with full coverage within `deadline`.
  std::uint64_t CountGood(Duration deadline) const;

  /// Mean coverage over all queries; a query without an answer counts as 0.
  double MeanCoverage() const;

  /// Number of queries that ended with `status`.
  std::uint64_t CountWithStatus(int status) const;
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_RESULT_H_
