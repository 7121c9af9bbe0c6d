#include "damaskroute/forward/retry_after_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <vector>

#include "damaskroute/forward/early_repeats.h"
#include "damaskroute/forward/overload_limit.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a load spike that returns: clients that were refused together and come back
// together, in particular those with long timeouts, whose Retry-After is at its maximum.
TEST_CASE("callers that are refused together do not return together") {
  for (seconds time_left : {seconds(2), seconds(30)}) {
    ManualClock clock;
    RetryAfterPolicy policy(1);
    std::map<std::int64_t, int> returns;  // By time in units of 10 ms.
    for (int i = 0; i < 300; ++i) {
      ++returns[policy.Choose(time_left, milliseconds(150), clock.Now()).count() / 10];
    }
    int most = 0;
    for (const auto& [time, count] : returns) most = std::max(most, count);
    CAPTURE(time_left.count());
    CHECK(returns.size() >= 25);
    CHECK(most <= 3 * 300 / static_cast<int>(returns.size()));
  }
}

// Guards against a Retry-After that callers do not honour, after which they retry at once, and one
// after which there is no time for an answer.
TEST_CASE("Retry-After leaves time for an answer and is at most a third of the time left") {
  ManualClock clock;
  RetryAfterPolicy policy(1);
  milliseconds answer_time(150);
  for (int left = 0; left < 5000; ++left) {
    milliseconds chosen = policy.Choose(milliseconds(left), answer_time, clock.Now());
    CAPTURE(left);
    CHECK(chosen.count() >= 1);
    CHECK(chosen.count() <= std::max(1, left / 3));
    if (left >= answer_time.count() + 20) CHECK(milliseconds(left) - chosen >= answer_time);
    clock.Advance(milliseconds(1));
  }
}

// Guards against a request that is never tried again because each early repeat postpones it.
TEST_CASE("a repeat is early until the stated time, however often it is sent") {
  ManualClock clock;
  EarlyRepeats repeats;
  CHECK_FALSE(repeats.IsEarly("a", 5, clock.Now()));
  TimePoint retry_at = clock.Now() + milliseconds(200);
  repeats.OnRefused("a", 5, retry_at, clock.Now());
  for (int i = 0; i < 19; ++i) {
    clock.Advance(milliseconds(10));
    CHECK(repeats.IsEarly("a", 5, clock.Now()));
    CHECK_FALSE(repeats.IsEarly("a", 6, clock.Now()));
    repeats.OnRefused("a", 5, clock.Now() + milliseconds(200), clock.Now());
  }
  clock.Advance(milliseconds(10));
  CHECK_FALSE(repeats.IsEarly("a", 5, clock.Now()));
}

// Guards against callers whose first request is taken for the repeat of another caller's, because
// the key of a request does not name its caller.
TEST_CASE("a refusal of one tenant does not make requests of others early") {
  ManualClock clock;
  EarlyRepeats repeats;
  TimePoint retry_at = clock.Now() + milliseconds(200);
  repeats.OnRefused("a", 5, retry_at, clock.Now());
  CHECK(repeats.IsEarly("a", 5, clock.Now()));
  CHECK_FALSE(repeats.IsEarly("b", 5, clock.Now()));
  CHECK_FALSE(repeats.IsEarly("", 5, clock.Now()));
  // Requests without a tenant come from callers that cannot be told apart.
  repeats.OnRefused("", 7, retry_at, clock.Now());
  CHECK_FALSE(repeats.IsEarly("", 7, clock.Now()));
}

// Replays a load of 2.5 times what a limit of eight queries of 40 ms allows. Half of the callers
// repeat a refused query up to four times, 2 ms apart; the others once, after the Retry-After.
struct Crowd {
  struct Attempt {
    TimePoint at;
    std::uint64_t caller = 0;
    int attempts = 0;
    bool operator>(const Attempt& other) const { return at > other.at; }
  };

  static constexpr int kLimit = 8;
  static constexpr milliseconds kWork{40};
  static constexpr seconds kLength{20};
  static constexpr double kCapacity = 200;  // Queries per second.

  // Part of the queries of callers that wait, and of those that repeat at once, that are served.
  double waiting = 0;
  double repeating = 0;
  double served_per_second = 0;

  explicit Crowd(bool refuse_early_repeats) {
    ManualClock clock;
    Random random(3);
    RetryAfterPolicy policy(1);
    EarlyRepeats repeats;
    OverloadLimit limit;
    // An overloaded query shrinks the limit to 0.8 of the queries in progress.
    for (int i = 0; i < kLimit * 5 / 4 - 1; ++i) limit.TryAcquire(true);
    limit.OnQueryEnded(LoadSignal::kOverloaded, clock.Now());
    while (limit.in_progress() > 0) limit.Release();
    std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> arrivals;
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends;
    TimePoint end = clock.Now() + kLength;
    std::uint64_t callers = 0;
    for (TimePoint at = clock.Now(); at < end;) {
      at +=
          std::chrono::microseconds(static_cast<int>(2e6 * random.NextDouble() / 2.5 / kCapacity));
      arrivals.push({at, callers++});
    }
    while (!arrivals.empty()) {
      Attempt attempt = arrivals.top();
      arrivals.pop();
      TimePoint now = attempt.at;
      while (!ends.empty() && ends.top() <= now) {
        ends.pop();
        limit.Release();
      }
      bool impatient = attempt.caller % 2 == 0;
      bool early = refuse_early_repeats && repeats.IsEarly("tenant", attempt.caller, now);
      if ((!early || limit.HasSpareRoom()) && limit.TryAcquire(true)) {
        ends.push(now + kWork);
        ++(impatient ? repeating : waiting);
        continue;
      }
      auto retry_after = policy.Choose(seconds(1), milliseconds(150), now);
      repeats.OnRefused("tenant", attempt.caller, now + retry_after, now);
      int max_attempts = impatient ? 5 : 2;
      if (++attempt.attempts >= max_attempts) continue;
      attempt.at += impatient ? milliseconds(2) : retry_after;
      arrivals.push(attempt);
    }
    served_per_second = (waiting + repeating) / static_cast<double>(kLength.count());
    waiting /= static_cast<double>(callers) / 2;
    repeating /= static_cast<double>(callers) / 2;
  }
};

// Guards against callers that repeat at once and take the places of those that wait as they were
// told, and against capacity that stays unused because repeats are refused.
TEST_CASE("a caller that repeats at once is not served more often than one that waits") {
  Crowd before(false);
  Crowd after(true);
  CAPTURE(before.waiting);
  CAPTURE(before.repeating);
  CAPTURE(after.waiting);
  CAPTURE(after.repeating);
  CHECK(before.repeating > 1.2 * before.waiting);
  CHECK(after.repeating <= 1.1 * after.waiting);
  CHECK(after.served_per_second >= 0.95 * before.served_per_second);
}

}  // namespace
}  // namespace damaskroute
