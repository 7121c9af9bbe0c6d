#include "damaskroute/core/backoff.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the backoff doubles with each failure up to its maximum") {
  CHECK(ExponentialBackoff(milliseconds(100), 0, milliseconds(800)) == milliseconds(100));
  CHECK(ExponentialBackoff(milliseconds(100), 2, milliseconds(800)) == milliseconds(400));
  CHECK(ExponentialBackoff(milliseconds(100), 3, milliseconds(800)) == milliseconds(800));
}

// Guards against integer overflow of the backoff after days of failures.
TEST_CASE("the backoff stays at its maximum for any number of failures") {
  for (int failures : {10, 100, 1'000'000}) {
    CHECK(ExponentialBackoff(milliseconds(100), failures, milliseconds(800)) == milliseconds(800));
  }
}

TEST_CASE("a jittered delay is between half of the delay and all of it") {
  Random random(1);
  bool low = false;
  bool high = false;
  for (int i = 0; i < 1000; ++i) {
    milliseconds delay = Jittered(milliseconds(100), random);
    CHECK(delay >= milliseconds(50));
    CHECK(delay <= milliseconds(100));
    low = low || delay < milliseconds(60);
    high = high || delay > milliseconds(90);
  }
  CHECK(low);
  CHECK(high);
}

}  // namespace
}  // namespace damaskroute
