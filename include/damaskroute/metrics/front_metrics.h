#ifndef DAMASKROUTE_METRICS_FRONT_METRICS_H_
#define DAMASKROUTE_METRICS_FRONT_METRICS_H_

#include <atomic>
#include <cstdint>

#include "damaskroute/core/time.h"
#include "damaskroute/metrics/latency_histogram.h"
#include "damaskroute/scatter/query_result.h"

namespace damaskroute {

/// Counters of one search front on one node. Thread-safe and lock-free.
struct FrontMetrics {
  std::atomic<std::uint64_t> complete{0};      ///< Answers with full coverage.
  std::atomic<std::uint64_t> partial{0};       ///< Answers with less than full coverage.
  std::atomic<std::uint64_t> not_run{0};       ///< Refused queries that certainly did not run.
  std::atomic<std::uint64_t> may_have_run{0};  ///< Failed queries with an unknown outcome.
  std::atomic<std::uint64_t> late{0};          ///< Answers slower than the objective.
  std::atomic<std::uint64_t> first_calls{0};
  std::atomic<std::uint64_t> hedges{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> stale_replies{0};
  LatencyHistogram latency;

  /// Counts a finished query. `objective` is the latency above which it counts as late.
  void OnQuery(const QueryResult& result, Duration elapsed, Duration objective);

  /// Counts a query that was refused before it was sent to any shard.
  void OnRefused() { not_run.fetch_add(1, std::memory_order_relaxed); }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_METRICS_FRONT_METRICS_H_
