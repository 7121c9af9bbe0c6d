#include "damaskroute/core/backoff.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a pause doubles with each failure up to its longest") {
  CHECK(Doubled(milliseconds(100), 0, milliseconds(800)) == milliseconds(100));
  CHECK(Doubled(milliseconds(100), 2, milliseconds(800)) == milliseconds(400));
  CHECK(Doubled(milliseconds(100), 3, milliseconds(800)) == milliseconds(800));
}

// Guards against a pause that overflows after days without success.
TEST_CASE("any number of failures gives the longest pause") {
  for (int failures : {10, 100, 1'000'000}) {
    CHECK(Doubled(milliseconds(100), failures, milliseconds(800)) == milliseconds(800));
  }
}

TEST_CASE("a jittered pause is from half of it to all of it") {
  Random random(1);
  bool low = false;
  bool high = false;
  for (int i = 0; i < 1000; ++i) {
    milliseconds pause = Jittered(milliseconds(100), random);
    CHECK(pause >= milliseconds(50));
    CHECK(pause <= milliseconds(100));
    low = low || pause < milliseconds(60);
    high = high || pause > milliseconds(90);
  }
  CHECK(low);
  CHECK(high);
}

}  // namespace
}  // namespace damaskroute
