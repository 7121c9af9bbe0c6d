#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_GENERATOR_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_GENERATOR_H_

#include <functional>
#include <memory>

#include "benchmark/support/load_options.h"
#include "benchmark/support/load_result.h"
#include "benchmark/support/query_target.h"
#include "damaskroute/node/event_loop.h"

namespace damaskroute::bench {

/// Makes the target of one event loop.
using TargetFactory = std::function<std::unique_ptr<QueryTarget>(EventLoop&)>;

/// Sends an open-loop load: each query has an arrival time that does not depend on earlier
/// answers, and its latency counts from that time. Ends when all queries have ended. The times in
/// the samples count from the end of the warm-up.
LoadResult RunLoad(const LoadOptions& options, const TargetFactory& make_target);

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_LOAD_GENERATOR_H_
