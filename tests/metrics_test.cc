#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "damaskroute/metrics/exposition.h"
#include "damaskroute/metrics/front_metrics.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

TEST_CASE("buckets are cumulative and include latencies outside of the histogram's range") {
  LatencyHistogram histogram;
  for (auto latency : {std::chrono::microseconds(1), std::chrono::microseconds(10'000),
                       std::chrono::microseconds(1'000'000'000)}) {
    histogram.Record(latency);
  }
  auto buckets = histogram.Buckets();
  CHECK(buckets.front().count == 1);
  CHECK(buckets.back().count == 3);
  for (std::size_t i = 1; i < buckets.size(); ++i) {
    CHECK(buckets[i - 1].count <= buckets[i].count);
    CHECK(buckets[i - 1].limit < buckets[i].limit);
  }
}

TEST_CASE("a partial answer is not counted as complete") {
  FrontMetrics metrics;
  QueryResult result;
  result.verdict = Verdict::kRan;
  result.covered.Add({0, 10});
  metrics.OnQuery(result, milliseconds(80), milliseconds(70));
  result.covered.Add(kWholeKeySpace);
  metrics.OnQuery(result, milliseconds(10), milliseconds(70));
  CHECK(metrics.partial == 1);
  CHECK(metrics.complete == 1);
  CHECK(metrics.late == 1);
}

TEST_CASE("label values cannot break the exposition format") {
  Exposition page;
  page.Family("x_total", "counter", "Help.");
  page.Sample(Exposition::Label("front", "a\"b\\c\n"), 2);
  CHECK(page.text() ==
        "# HELP x_total Help.\n# TYPE x_total counter\nx_total{front=\"a\\\"b\\\\c\\n\"} 2\n");
}

}  // namespace
}  // namespace damaskroute
