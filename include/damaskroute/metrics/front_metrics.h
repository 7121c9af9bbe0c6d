#ifndef DAMASKROUTE_METRICS_FRONT_METRICS_H_
#define DAMASKROUTE_METRICS_FRONT_METRICS_H_

#include <atomic>
#include <cstdint>

#include "damaskroute/core/time.h"
#include "damaskroute/metrics/latency_histogram.h"
#include "damaskroute/scatter/query_result.h"

namespace damaskroute {

/// Counters of one search front on one node. Safe for use by several threads, lock-free.
struct FrontMetrics {
  std::atomic<std::uint64_t> complete{0};      ///< Answers with full coverage.
  std::atomic<std::uint64_t> partial{0};       ///< Answers with less.
  std::atomic<std::uint64_t> not_run{0};       ///< Refusals that certainly did not run.
  std::atomic<std::uint64_t> may_have_run{0};  ///< Failures with unknown outcome.
  std::atomic<std::uint64_t> late{0};          ///< Answers slower than the objective.
  std::atomic<std::uint64_t> first_calls{0};
  std::atomic<std::uint64_t> copies{0};
  std::atomic<std::uint64_t> retries{0};
  std::atomic<std::uint64_t> stale_replies{0};
  LatencyHistogram latency;

  /// Takes in a query that ended. `objective` is the latency above which it is late.
  void OnQuery(const QueryResult& result, Duration elapsed, Duration objective);

  /// Takes in a query that was refused before it was sent to any shard.
  void OnRefused() { not_run.fetch_add(1, std::memory_order_relaxed); }
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_METRICS_FRONT_METRICS_H_
