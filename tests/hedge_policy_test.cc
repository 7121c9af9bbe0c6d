#include "damaskroute/scatter/hedge_policy.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

void Fill(LatencyQuantiles& latency, int count, TimePoint now, int offset_ms = 0) {
  for (int i = 0; i < count; ++i) latency.Record(milliseconds(1 + i % 100 + offset_ms), now);
  latency.Refresh();
}

TEST_CASE("quantiles are accurate within the bin width and old samples decay") {
  ManualClock clock;
  LatencyQuantiles latency(0.97);
  CHECK_FALSE(latency.hedge().has_value());
  Fill(latency, 99, clock.Now());
  CHECK_FALSE(latency.hedge().has_value());
  Fill(latency, 100'000, clock.Now());
  CHECK(*latency.median() >= milliseconds(49));
  CHECK(*latency.median() <= milliseconds(52));
  CHECK(*latency.hedge() >= milliseconds(96));
  CHECK(*latency.hedge() <= milliseconds(100));
  for (int i = 0; i < 100; ++i) {
    clock.Advance(milliseconds(100));
    Fill(latency, 1000, clock.Now(), 100);
  }
  CHECK(*latency.median() >= milliseconds(148));
}

TEST_CASE("a rare tail is retained at a low call rate, so calls are not hedged too early") {
  ManualClock clock;
  LatencyQuantiles latency(0.97);
  Random random(1);
  for (int i = 0; i < 5000; ++i) {
    clock.Advance(milliseconds(5));
    // 5% take between 50 and 150 ms, so p97 is 90 ms.
    bool slow = random.Below(100) < 5;
    latency.Record(milliseconds(slow ? 50 + random.Below(100) : 5), clock.Now());
  }
  CHECK(*latency.hedge() > milliseconds(60));
  CHECK(*latency.hedge() < milliseconds(120));
}

TEST_CASE("hedges are limited by the budgets of the service and the node") {
  TokenBudget node(0.05, 30);
  HedgePolicy a({.hedge_ratio = 0.05, .hedge_burst = 20}, node);
  HedgePolicy b({.hedge_ratio = 0.05, .hedge_burst = 20}, node);
  auto take = [](HedgePolicy& policy) {
    int taken = 0;
    while (policy.TryHedge()) ++taken;
    return taken;
  };
  CHECK(take(a) == 20);
  CHECK(take(b) == 10);
  a.OnStart(100);
  CHECK(take(b) == 5);  // Limited by the node's tokens, added by a; b's budget has ten left.
  CHECK(take(a) == 0);
}

TEST_CASE("no hedges while more than a fifth of the calls of open queries are late") {
  TokenBudget node(1, 1000);
  HedgePolicy policy({.hedge_ratio = 1, .hedge_burst = 1000}, node);
  policy.OnStart(100);
  for (int i = 0; i < 20; ++i) policy.OnLate();
  CHECK(policy.TryHedge());
  policy.OnLate();
  CHECK_FALSE(policy.TryHedge());
  policy.OnEnd(100, 21);
  policy.OnStart(2);
  policy.OnLate();  // Half of all calls, but below `min_late`.
  CHECK(policy.TryHedge());
}

TEST_CASE("concurrent callers never take the same token of a budget") {
  TokenBudget budget(0, 1000);
  std::atomic<int> taken{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      while (budget.TryTake()) ++taken;
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(taken == 1000);
}

TEST_CASE("quantiles can be recorded and read by several threads") {
  LatencyQuantiles latency(0.97);
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      ManualClock clock;
      for (int step = 0; step < 5000; ++step) {
        clock.Advance(milliseconds(1));
        latency.Record(milliseconds(10), clock.Now());
        if (auto late = latency.hedge()) CHECK(*late >= milliseconds(10));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
}

}  // namespace
}  // namespace damaskroute
