#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_QUERY_TARGET_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_QUERY_TARGET_H_

#include <functional>

#include "benchmark/support/load_result.h"
#include "damaskroute/core/time.h"

namespace damaskroute::bench {

/// Destination of the queries of one event loop: the entry nodes or the baseline policy.
class QueryTarget {
 public:
  /// Receives the outcome of a query. Called once, on the event loop.
  using Done = std::function<void(int status, double coverage, std::string verdict)>;

  virtual ~QueryTarget() = default;
  virtual void Send(bool urgent, TimePoint deadline, Done done) = 0;
};

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_QUERY_TARGET_H_
