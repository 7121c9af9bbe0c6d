#include "damaskroute/admission/call_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

struct QueueFixture {
  explicit QueueFixture(std::uint32_t slots, CallQueueSettings settings = {})
      : queue(settings, latency) {
    for (int i = 0; i < 200; ++i) latency.Record(milliseconds(10), clock.Now());
    latency.Refresh();
    Take(queue.SetLimit(slots, clock.Now()));
  }
  void Enqueue(std::uint64_t token, Priority priority, int deadline_ms) {
    Take(queue.Enqueue({token, priority, clock.Now() + milliseconds(deadline_ms)}, clock.Now()));
  }
  void Done(std::uint64_t token) { Take(queue.OnDone(token, false, clock.Now())); }
  void Take(const std::vector<QueueAction>& actions) {
    for (const QueueAction& action : actions) {
      if (auto* start = std::get_if<StartCall>(&action)) started.push_back(start->token);
      if (auto* refuse = std::get_if<RefuseCall>(&action)) {
        refused.insert({refuse->token, *refuse});
      }
      if (auto* expire = std::get_if<ExpireCall>(&action)) expired.push_back(expire->token);
      if (auto* cancel = std::get_if<CancelRunning>(&action)) cancelled.push_back(cancel->token);
      if (auto* timer = std::get_if<SetQueueTimer>(&action)) timer_at = timer->at;
    }
  }

  ManualClock clock;
  LatencyQuantiles latency{0.95};
  CallQueue queue;
  std::vector<std::uint64_t> started, expired, cancelled;
  std::map<std::uint64_t, RefuseCall> refused;
  TimePoint timer_at;
};

TEST_CASE("calls start by priority, then deadline") {
  QueueFixture f(1);
  f.Enqueue(1, Priority::kBulk, 900);
  f.Enqueue(2, Priority::kBulk, 900);
  f.Enqueue(3, Priority::kNormal, 900);
  f.Enqueue(4, Priority::kNormal, 500);
  f.Enqueue(5, Priority::kUrgent, 900);
  for (std::uint64_t token : {1, 5, 4, 3}) f.Done(token);
  CHECK(f.started == std::vector<std::uint64_t>{1, 5, 4, 3, 2});
}

TEST_CASE("a call that cannot end before its deadline is refused at once, not at its deadline") {
  QueueFixture f(1);
  f.Enqueue(1, Priority::kNormal, 5);
  CHECK(f.refused.at(1).reason == RefuseReason::kNoTime);
  f.Enqueue(2, Priority::kNormal, 900);
  for (std::uint64_t token = 3; token <= 12; ++token) f.Enqueue(token, Priority::kNormal, 900);
  f.Enqueue(13, Priority::kNormal, 910);  // Ends after 110 ms, behind ten calls of 10 ms.
  f.Enqueue(14, Priority::kUrgent, 100);  // Starts ahead of them.
  f.Enqueue(15, Priority::kBulk, 100);
  CHECK_FALSE(f.refused.contains(13));
  CHECK_FALSE(f.refused.contains(14));
  CHECK(f.refused.at(15).reason == RefuseReason::kNoTime);
  CHECK(f.refused.at(15).retry_after > milliseconds(50));
}

TEST_CASE(
    "a waiting call is refused when its remaining time is too short, a running one is cancelled") {
  QueueFixture f(1);
  f.Enqueue(1, Priority::kNormal, 50);
  f.Enqueue(2, Priority::kNormal, 60);
  f.clock.Advance(f.timer_at - f.clock.Now());
  f.Take(f.queue.OnTimer(f.clock.Now()));
  f.clock.Advance(milliseconds(20));
  f.Take(f.queue.OnTimer(f.clock.Now()));
  CHECK(f.refused.contains(2));
  CHECK(f.cancelled == std::vector<std::uint64_t>{1});
  f.Enqueue(3, Priority::kNormal, 100);
  CHECK(f.started == std::vector<std::uint64_t>{1});  // The slot stays occupied.
  f.Done(1);
  CHECK(f.started == std::vector<std::uint64_t>{1, 3});
}

TEST_CASE("a cancelled running call frees its slot only when it ends; a waiting one is removed") {
  QueueFixture f(1);
  f.Enqueue(1, Priority::kNormal, 900);
  f.Enqueue(2, Priority::kNormal, 900);
  f.Enqueue(3, Priority::kNormal, 900);
  f.Take(f.queue.Cancel(2, f.clock.Now()));
  f.Take(f.queue.Cancel(1, f.clock.Now()));
  f.Take(f.queue.Cancel(1, f.clock.Now()));
  CHECK(f.cancelled == std::vector<std::uint64_t>{1});
  CHECK(f.queue.running() == 1);
  f.Done(1);
  CHECK(f.started == std::vector<std::uint64_t>{1, 3});
}

TEST_CASE("a full queue evicts calls for higher priority only") {
  QueueFixture f(1, {.max_queued = 2});
  for (std::uint64_t token = 1; token <= 3; ++token) f.Enqueue(token, Priority::kBulk, 900);
  f.Enqueue(4, Priority::kBulk, 800);
  CHECK(f.refused.at(4).reason == RefuseReason::kQueueFull);
  f.Enqueue(5, Priority::kUrgent, 900);
  CHECK(f.refused.at(3).reason == RefuseReason::kQueueFull);
  CHECK(f.queue.queued() == 2);
}

TEST_CASE("bulk calls are not starved by normal ones, but wait for urgent ones") {
  QueueFixture f(1, {.max_queued = 64, .normal_per_bulk = 4});
  f.Enqueue(1, Priority::kNormal, 9000);
  f.Enqueue(100, Priority::kBulk, 9000);
  for (std::uint64_t token = 2; token <= 12; ++token) f.Enqueue(token, Priority::kNormal, 9000);
  for (std::uint64_t token = 1; token <= 4; ++token) f.Done(token);
  f.Enqueue(200, Priority::kUrgent, 9000);
  f.Done(5);
  f.Done(200);
  CHECK(f.started == std::vector<std::uint64_t>{1, 2, 3, 4, 5, 200, 100});
}

TEST_CASE("a limit of zero refuses the waiting calls") {
  QueueFixture f(1);
  f.Enqueue(1, Priority::kNormal, 900);
  f.Enqueue(2, Priority::kNormal, 900);
  f.Take(f.queue.SetLimit(0, f.clock.Now()));
  f.Enqueue(3, Priority::kNormal, 900);
  CHECK(f.refused.at(2).reason == RefuseReason::kNoSlots);
  CHECK(f.refused.at(3).reason == RefuseReason::kNoSlots);
  f.Done(1);
  CHECK(f.started.size() == 1);
}

TEST_CASE("no call starts above the limit and each call ends once, under random events") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    QueueFixture f(2, {.max_queued = 6});
    std::uint32_t limit = 2;
    std::uint64_t next = 1;
    std::vector<std::uint64_t> running;
    for (int step = 0; step < 200; ++step) {
      std::size_t seen = f.started.size();
      switch (random.Below(6)) {
        case 0:
          limit = static_cast<std::uint32_t>(random.Below(4));
          f.Take(f.queue.SetLimit(limit, f.clock.Now()));
          break;
        case 1:
          f.clock.Advance(milliseconds(random.Below(20)));
          f.Take(f.queue.OnTimer(f.clock.Now()));
          break;
        case 2:
          if (running.empty()) break;
          std::swap(running[random.Below(running.size())], running.back());
          f.Done(running.back());
          running.pop_back();
          break;
        case 3:
          f.Take(f.queue.Cancel(random.Below(next), f.clock.Now()));
          break;
        default:
          f.Enqueue(next++, static_cast<Priority>(random.Below(3)),
                    static_cast<int>(random.Below(100)));
      }
      std::size_t before = running.size();
      for (; seen < f.started.size(); ++seen) running.push_back(f.started[seen]);
      RC_ASSERT(running.size() <= std::max<std::size_t>(limit, before));
      RC_ASSERT(f.queue.running() == running.size());
      RC_ASSERT(f.queue.queued() <= 6U);
    }
    std::vector<std::uint64_t> ended = f.started;
    for (auto& [token, refusal] : f.refused) ended.push_back(token);
    ended.insert(ended.end(), f.expired.begin(), f.expired.end());
    std::sort(ended.begin(), ended.end());
    RC_ASSERT(std::adjacent_find(ended.begin(), ended.end()) == ended.end());
  }));
}

}  // namespace
}  // namespace damaskroute
