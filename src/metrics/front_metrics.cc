#include "damaskroute/metrics/front_metrics.h"

namespace damaskroute {
namespace {

void Add(std::atomic<std::uint64_t>& counter, std::uint64_t amount) {
  counter.fetch_add(amount, std::memory_order_relaxed);
}

}  // namespace

void FrontMetrics::OnQuery(const QueryResult& result, Duration elapsed, Duration objective) {
  Add(first_calls, result.first_calls);
  Add(hedges, result.hedges);
  Add(retries, result.retries);
  Add(stale_replies, result.stale_replies);
  switch (result.verdict) {
    case Verdict::kNotRun:
      Add(not_run, 1);
      return;
    case Verdict::kMayHaveRun:
      Add(may_have_run, 1);
      return;
    case Verdict::kRan:
      Add(result.covered.Covers(kWholeKeySpace) ? complete : partial, 1);
      if (elapsed > objective) Add(late, 1);
      latency.Record(elapsed);
      return;
  }
}

}  // namespace damaskroute
