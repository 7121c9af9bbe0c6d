#include "damaskroute/forward/retry_after_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

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

}  // namespace
}  // namespace damaskroute
