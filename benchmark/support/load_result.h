#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_RESULT_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_RESULT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskroute/core/time.h"

namespace damaskroute::bench {

/// Outcome of one query of the load.
struct QuerySample {
  std::chrono::milliseconds scheduled{0};  ///< Arrival after the start.
  Duration latency{};                      ///< From the scheduled arrival, not from the sending.
  bool urgent = false;
  int status = 0;  ///< HTTP status, 0 if there was no answer.
  double coverage = 0;
  std::string verdict;
};

/// All samples of a load with the figures computed from them.
struct LoadResult {
  std::vector<QuerySample> samples;

  /// Latency quantile of the answered queries; `urgent_only` looks at these alone.
  Duration Quantile(double quantile, bool urgent_only = false) const;

  /// Queries answered with status 200.
  std::uint64_t Answered() const;

  /// Queries answered with full coverage within `deadline`.
  std::uint64_t Good(Duration deadline) const;

  /// Mean coverage over all queries; one without an answer counts 0.
  double MeanCoverage() const;

  /// Number of queries with the status.
  std::uint64_t WithStatus(int status) const;
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_RESULT_H_
