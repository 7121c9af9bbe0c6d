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

// The query ends at once with its last part.
void End(OverloadLimit& limit, LoadSign sign, TimePoint now) {
  limit.Leave();
  limit.OnEnd(sign, now);
}

// Queries over 20 shards, of which each has slots and a bounded queue, and clients that repeat a
// failed or refused query at once, up to four times. All times are simulated.
struct Crowd {
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
    LoadSign sign = LoadSign::kNone;  // Of a query that ends.
    bool operator>(const Event& other) const { return at > other.at; }
  };

  // Finish times of the calls at one shard.
  struct Shard {
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> calls;
    std::vector<TimePoint> slots = std::vector<TimePoint>(kSlots);

    // When a call that arrives now is answered; nothing if the queue is full.
    std::optional<TimePoint> Serve(TimePoint now, Duration work) {
      while (!calls.empty() && calls.top() <= now) calls.pop();
      if (calls.size() >= kSlots + kQueue) return std::nullopt;
      auto slot = std::min_element(slots.begin(), slots.end());
      *slot = std::max(*slot, now) + work;
      calls.push(*slot);
      return *slot;
    }
  };

  // Queries answered in time per second while `load` times the capacity arrives.
  double Goodput(double load, bool limited) {
    Random random(11);
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<Shard> shards(kShards);
    OverloadLimit limit;
    TimePoint begin = ManualClock().Now();
    TimePoint end = begin + seconds(10);
    int good = 0;
    for (TimePoint at = begin; at < end;) {
      at += microseconds(static_cast<int>(2e6 * random.Unit() / (load * kCapacity)));
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
        if (event.sign == LoadSign::kFine) ++good;
        if (limited) End(limit, event.sign, event.at);
        if (event.sign != LoadSign::kFine) repeat(event);
        continue;
      }
      if (limited && !limit.TryStart(true)) {
        repeat(event);
        continue;
      }
      std::vector<TimePoint> parts;
      for (Shard& shard : shards) {
        auto work = std::chrono::duration_cast<Duration>(kWork * (0.5 + random.Unit()));
        if (auto finish = shard.Serve(event.at, work)) parts.push_back(*finish);
      }
      std::sort(parts.begin(), parts.end());
      bool enough = parts.size() >= kNeeded;
      TimePoint last = enough ? parts[kNeeded - 1] : event.at + milliseconds(1);
      bool in_time = enough && last <= event.at + kObjective;
      events.push({std::min(last, event.at + kObjective), false, event.repeats,
                   in_time ? LoadSign::kFine : LoadSign::kStrained});
    }
    return good / 10.0;
  }
};

// deploy/days/crowds.toml: 2.5 times the traffic with clients that repeat at once. Without the
// limit the queues are always full, and hardly any query gets all the parts that it needs.
TEST_CASE("a crowd that repeats at once leaves most of the capacity to queries in time") {
  Crowd crowd;
  double with = crowd.Goodput(2.5, true);
  double without = crowd.Goodput(2.5, false);
  CAPTURE(with);
  CAPTURE(without);
  CHECK(with >= 0.7 * Crowd::kCapacity);
  CHECK(with >= 3 * without);
}

TEST_CASE("the limit takes nothing from a load below the capacity") {
  Crowd crowd;
  CHECK(crowd.Goodput(0.7, true) >= crowd.Goodput(0.7, false) - 1);
}

TEST_CASE("the limit never closes, so it can see that the load is over") {
  OverloadLimit limit;
  ManualClock clock;
  for (int i = 0; i < 200; ++i) {
    if (!limit.TryStart(true)) FAIL("closed");
    End(limit, LoadSign::kStrained, clock.Now());
    clock.Advance(milliseconds(100));
  }
  CHECK(limit.limit() >= 1);
  double low = limit.limit();
  for (int i = 0; i < 50; ++i) {
    while (limit.TryStart(true)) {
    }
    while (limit.in_progress() > 0) End(limit, LoadSign::kFine, clock.Now());
  }
  CHECK(limit.limit() > 2 * low);
}

TEST_CASE("one burst of strained queries shrinks the limit once") {
  OverloadLimit limit;
  ManualClock clock;
  for (int i = 0; i < 40; ++i) REQUIRE(limit.TryStart(true));
  End(limit, LoadSign::kStrained, clock.Now());
  double after_first = limit.limit();
  for (int i = 0; i < 39; ++i) End(limit, LoadSign::kStrained, clock.Now());
  CHECK(limit.limit() == after_first);
}

TEST_CASE("the load counts as too high for a moment after a strained query") {
  OverloadLimit limit;
  ManualClock clock;
  REQUIRE(limit.TryStart(true));
  CHECK_FALSE(limit.IsPressed(clock.Now()));
  End(limit, LoadSign::kStrained, clock.Now());
  CHECK(limit.IsPressed(clock.Now()));
  clock.Advance(seconds(1));
  CHECK_FALSE(limit.IsPressed(clock.Now()));
}

TEST_CASE("less urgent queries leave a part of the limit to urgent ones") {
  OverloadLimit limit;
  int others = 0;
  while (limit.TryStart(false)) ++others;
  CHECK(limit.TryStart(true));
  CHECK(others > 0);
}

// deploy/days/crowds.toml and evacuations.toml: queries that wait up to their objective for a slow
// shard kept all places, and the others were turned away from servers that had room.
TEST_CASE("a query that has left its place makes room for another, and still tells its sign") {
  OverloadLimit limit;
  ManualClock clock;
  int started = 0;
  while (limit.TryStart(true)) ++started;
  for (int i = 0; i < started; ++i) limit.Leave();
  for (int i = 0; i < started; ++i) CHECK(limit.TryStart(true));
  double before = limit.limit();
  limit.OnEnd(LoadSign::kStrained, clock.Now());
  CHECK(limit.limit() < before);
  CHECK(limit.in_progress() == started);
}

}  // namespace
}  // namespace damaskroute
