#include "damaskroute/forward/processor_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "damaskroute/core/random.h"
#include "damaskroute/forward/timer_delay.h"

namespace damaskroute {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCalls = 90;
constexpr milliseconds kTimeLeft{130};

struct Replayed {
  int queries = 0;
  int refused = 0;
  int in_time = 0;
};

// Queries of 90 calls arrive at random at a node that works on them one after the other. Its timers
// are late by the work that waits. All times are simulated.
Replayed Replay(double cpu_quota, double queries_per_second, microseconds time_per_call,
                bool limited) {
  ManualClock clock;
  Random random(9);
  ProcessorLimit limit(cpu_quota);
  TimerDelay timer_delay;
  Replayed result;
  auto work = duration_cast<Duration>(kCalls * time_per_call / cpu_quota);
  TimePoint idle_at;
  std::deque<TimePoint> ends;
  TimePoint end = clock.Now() + seconds(300);
  while (clock.Now() < end) {
    std::chrono::duration<double> pause(-std::log(1 - random.NextDouble()) / queries_per_second);
    clock.Advance(duration_cast<Duration>(pause));
    TimePoint now = clock.Now();
    ++result.queries;
    while (!ends.empty() && ends.front() <= now) {
      ends.pop_front();
      limit.OnEnded(kCalls);
    }
    timer_delay.OnFired(now, std::max(now, idle_at));
    if (limited && !limit.Allows(kCalls, kTimeLeft, timer_delay.allowance(), now)) {
      ++result.refused;
      continue;
    }
    limit.OnStarted(kCalls, now);
    idle_at = std::max(now, idle_at) + work;
    ends.push_back(idle_at);
    if (idle_at - now <= kTimeLeft) ++result.in_time;
  }
  return result;
}

// Guards against a small node that answers all queries late, because it starts more of them than
// its processor time allows: it gets 1.5 times what it can work on.
TEST_CASE("an overloaded small node answers some queries in time and refuses the others at once") {
  for (double cpu_quota : {0.12, 0.28, 0.5}) {
    double capacity = cpu_quota / 0.009;
    auto before = Replay(cpu_quota, 1.5 * capacity, microseconds(100), false);
    auto after = Replay(cpu_quota, 1.5 * capacity, microseconds(100), true);
    CAPTURE(cpu_quota);
    CAPTURE(before.in_time);
    CAPTURE(after.in_time);
    CAPTURE(after.queries);
    CHECK(after.in_time >= 10 * before.in_time);
    CHECK(after.in_time >= 0.95 * (after.queries - after.refused));
    CHECK(after.in_time >= 0.4 * after.queries);
  }
}

// Guards against refusals in normal operation: 0.28 core are ten times what two queries per second
// need.
TEST_CASE("a node with processor time to spare refuses nothing") {
  CHECK(Replay(0.28, 2, microseconds(100), true).refused == 0);
  CHECK(Replay(0.5, 10, microseconds(100), true).refused == 0);
}

// Guards against refusals by a wrong estimate: if calls cost a tenth of what is assumed, a node
// that seems to have eight times its load hardly ever has late timers.
TEST_CASE("a node whose timers fire in time refuses hardly anything") {
  auto result = Replay(0.12, 13, microseconds(10), true);
  CHECK(result.refused <= result.queries / 200);
}

TEST_CASE("a query that is alone and a node without a known quota are never limited") {
  ManualClock clock;
  ProcessorLimit small(0.01);
  CHECK(small.Allows(kCalls, milliseconds(1), milliseconds(25), clock.Now()));
  small.OnStarted(kCalls, clock.Now());
  CHECK_FALSE(small.Allows(kCalls, kTimeLeft, milliseconds(25), clock.Now()));
  small.OnEnded(kCalls);
  CHECK(small.Allows(kCalls, milliseconds(1), milliseconds(25), clock.Now()));
  ProcessorLimit unknown(std::nullopt);
  unknown.OnStarted(100'000, clock.Now());
  CHECK(unknown.Allows(kCalls, milliseconds(1), milliseconds(25), clock.Now()));
  CHECK(unknown.ExtraMergeTime(kCalls, milliseconds(25)) == Duration::zero());
}

// Guards against answers of small nodes that are late because merging takes longer than reserved.
TEST_CASE("only nodes with less than a third of a core reserve more time for merging") {
  CHECK(ProcessorLimit(0.5).ExtraMergeTime(kCalls, milliseconds(25)) == Duration::zero());
  CHECK(ProcessorLimit(0.34).ExtraMergeTime(kCalls, milliseconds(25)) == Duration::zero());
  CHECK(ProcessorLimit(0.12).ExtraMergeTime(kCalls, milliseconds(25)) > milliseconds(9));
  CHECK(ProcessorLimit(0.12).ExtraMergeTime(0, milliseconds(25)) == Duration::zero());
}

// Guards against answers that lack parts in calm, because a small node answers earlier than needed.
TEST_CASE("a node whose timers fire in time reserves no more time for merging") {
  CHECK(ProcessorLimit(0.12).ExtraMergeTime(kCalls, milliseconds(2)) == Duration::zero());
  CHECK(ProcessorLimit(0.12).ExtraMergeTime(kCalls, milliseconds(19)) == Duration::zero());
}

}  // namespace
}  // namespace damaskroute
