#include "damaskroute/forward/extra_budget.h"

#include <doctest/doctest.h>

#include <deque>

#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

TEST_CASE("hedges leave a fraction of the budget for retries") {
  ExtraBudget budget;
  ExtraBudgetOptions options{.ratio = 0.2, .node_slack = 0};
  ManualClock clock;
  for (int i = 0; i < 100; ++i) budget.OnRequest(options, clock.Now());
  int hedges = 0;
  while (budget.TryTake(options, ExtraKind::kHedge, clock.Now())) ++hedges;
  CHECK(hedges == 18);
  int retries = 0;
  while (budget.TryTake(options, ExtraKind::kRetry, clock.Now())) ++retries;
  CHECK(retries == 2);
}

TEST_CASE("a node without requests has only its share of the constant") {
  ExtraBudget budget;
  ExtraBudgetOptions options{.ratio = 0.2, .node_slack = 3};
  ManualClock clock;
  int taken = 0;
  while (budget.TryTake(options, ExtraKind::kRetry, clock.Now())) ++taken;
  CHECK(taken == 3);
}

// If all shards are slow at once, every call is late; a limit that only holds on average would be
// exceeded in a window that spans two bursts.
TEST_CASE("no window of any position holds more extra calls than allowed") {
  ExtraBudget budget;
  ExtraBudgetOptions options{.ratio = 0.2, .node_slack = 5};
  ManualClock clock;
  Random random(7);
  std::deque<TimePoint> extras;
  std::deque<TimePoint> requests;
  for (int step = 0; step < 30'000; ++step) {
    clock.Advance(milliseconds(random.Below(5)));
    TimePoint now = clock.Now();
    bool burst = (step / 3000) % 2 == 0;
    if (burst || random.Below(10) == 0) {
      budget.OnRequest(options, now);
      requests.push_back(now);
    }
    if (budget.TryTake(options, ExtraKind::kRetry, now)) extras.push_back(now);
    while (!extras.empty() && extras.front() + options.window <= now) extras.pop_front();
    // The limit counts the requests of this window or of the previous one.
    while (!requests.empty() && requests.front() + 2 * options.window <= now) requests.pop_front();
    REQUIRE(static_cast<double>(extras.size()) <=
            options.ratio * static_cast<double>(requests.size()) + options.node_slack);
  }
}

}  // namespace
}  // namespace damaskroute
