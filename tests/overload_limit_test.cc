#include "damaskroute/forward/overload_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "damaskroute/core/random.h"

namespace damaskroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Ends a query at the time of its last part.
void End(OverloadLimit& limit, LoadSignal signal, TimePoint now) {
  limit.Release();
  limit.OnQueryEnded(signal, now);
}

// Simulates queries over 20 shards, each with slots and a bounded queue, and clients that repeat a
// failed or refused query at once, up to four times. All times are simulated.
struct LoadSpike {
  static constexpr int kShards = 20;
  static constexpr int kNeeded = 18;
  static constexpr int kSlots = 4;
  static constexpr int kQueue = 24;
  static constexpr milliseconds kWork{16};
  static constexpr milliseconds kObjective{150};
  static constexpr int kRepeats = 4;
  static constexpr double kCapacity = 250;  // Queries per second: slots / work.

  struct Event {
    TimePoint at;
    bool arrival = false;
    int repeats = 0;
    LoadSignal signal = LoadSignal::kNone;  // Of an ended query.
    bool operator>(const Event& other) const { return at > other.at; }
  };

  // End times of the calls to one shard.
  struct Shard {
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> calls;
    std::vector<TimePoint> slots = std::vector<TimePoint>(kSlots);

    // When a call that arrives at `now` ends; nullopt if the queue is full.
    std::optional<TimePoint> Serve(TimePoint now, Duration work) {
      while (!calls.empty() && calls.top() <= now) calls.pop();
      if (calls.size() >= kSlots + kQueue) return std::nullopt;
      auto slot = std::min_element(slots.begin(), slots.end());
      *slot = std::max(*slot, now) + work;
      calls.push(*slot);
      return *slot;
    }
  };

  // Queries answered in time per second under `load` times the capacity.
  double Goodput(double load, bool limited) {
    Random random(11);
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<Shard> shards(kShards);
    OverloadLimit limit;
    TimePoint begin = ManualClock().Now();
    TimePoint end = begin + seconds(10);
    int good = 0;
    for (TimePoint at = begin; at < end;) {
      at += microseconds(static_cast<int>(2e6 * random.NextDouble() / (load * kCapacity)));
      events.push({at, true});
    }
    auto repeat = [&](const Event& event) {
      if (event.repeats < kRepeats) {
        events.push({event.at + milliseconds(2), true, event.repeats + 1});
      }
    };
    while (!events.empty() && events.top().at < end) {
      Event event = events.top();
      events.pop();
      if (!event.arrival) {
        if (event.signal == LoadSignal::kHealthy) ++good;
        if (limited) End(limit, event.signal, event.at);
        if (event.signal != LoadSignal::kHealthy) repeat(event);
        continue;
      }
      if (limited && !limit.TryAcquire(true)) {
        repeat(event);
        continue;
      }
      std::vector<TimePoint> parts;
      for (Shard& shard : shards) {
        auto work = std::chrono::duration_cast<Duration>(kWork * (0.5 + random.NextDouble()));
        if (auto finish = shard.Serve(event.at, work)) parts.push_back(*finish);
      }
      std::sort(parts.begin(), parts.end());
      bool enough = parts.size() >= kNeeded;
      TimePoint last = enough ? parts[kNeeded - 1] : event.at + milliseconds(1);
      bool in_time = enough && last <= event.at + kObjective;
      events.push({std::min(last, event.at + kObjective), false, event.repeats,
                   in_time ? LoadSignal::kHealthy : LoadSignal::kOverloaded});
    }
    return good / 10.0;
  }
};

// Guards against a load spike that lasts: at 2.5 times the capacity, with clients that repeat at
// once, the queues are always full without the limit, and hardly any query gets all the parts that
// it needs.
TEST_CASE("a load spike with immediate repeats leaves most of the capacity to queries in time") {
  LoadSpike spike;
  double with = spike.Goodput(2.5, true);
  double without = spike.Goodput(2.5, false);
  CAPTURE(with);
  CAPTURE(without);
  CHECK(with >= 0.7 * LoadSpike::kCapacity);
  CHECK(with >= 3 * without);
}

TEST_CASE("the limit does not reduce a load below the capacity") {
  LoadSpike spike;
  CHECK(spike.Goodput(0.7, true) >= spike.Goodput(0.7, false) - 1);
}

TEST_CASE("the limit never reaches zero, so it recovers after the load") {
  OverloadLimit limit;
  ManualClock clock;
  for (int i = 0; i < 200; ++i) {
    if (!limit.TryAcquire(true)) FAIL("no query is admitted");
    End(limit, LoadSignal::kOverloaded, clock.Now());
    clock.Advance(milliseconds(100));
  }
  CHECK(limit.limit() >= 1);
  double low = limit.limit();
  for (int i = 0; i < 50; ++i) {
    while (limit.TryAcquire(true)) {
    }
    while (limit.in_progress() > 0) End(limit, LoadSignal::kHealthy, clock.Now());
  }
  CHECK(limit.limit() > 2 * low);
}

TEST_CASE("a burst of overloaded queries shrinks the limit once") {
  OverloadLimit limit;
  ManualClock clock;
  for (int i = 0; i < 40; ++i) REQUIRE(limit.TryAcquire(true));
  End(limit, LoadSignal::kOverloaded, clock.Now());
  double after_first = limit.limit();
  for (int i = 0; i < 39; ++i) End(limit, LoadSignal::kOverloaded, clock.Now());
  CHECK(limit.limit() == after_first);
}

TEST_CASE("the servers count as overloaded for a short time after an overloaded query") {
  OverloadLimit limit;
  ManualClock clock;
  REQUIRE(limit.TryAcquire(true));
  CHECK_FALSE(limit.IsOverloaded(clock.Now()));
  End(limit, LoadSignal::kOverloaded, clock.Now());
  CHECK(limit.IsOverloaded(clock.Now()));
  clock.Advance(seconds(1));
  CHECK_FALSE(limit.IsOverloaded(clock.Now()));
}

TEST_CASE("less urgent queries leave a fraction of the limit to urgent ones") {
  OverloadLimit limit;
  int others = 0;
  while (limit.TryAcquire(false)) ++others;
  CHECK(limit.TryAcquire(true));
  CHECK(others > 0);
}

// Guards against queries that wait for a slow shard up to their objective and use up the limit,
// while others are refused although their servers have capacity.
TEST_CASE("a released query makes capacity for another, and its signal still counts") {
  OverloadLimit limit;
  ManualClock clock;
  int started = 0;
  while (limit.TryAcquire(true)) ++started;
  for (int i = 0; i < started; ++i) limit.Release();
  for (int i = 0; i < started; ++i) CHECK(limit.TryAcquire(true));
  double before = limit.limit();
  limit.OnQueryEnded(LoadSignal::kOverloaded, clock.Now());
  CHECK(limit.limit() < before);
  CHECK(limit.in_progress() == started);
}

}  // namespace
}  // namespace damaskroute
