#include "damaskroute/core/key_range_set.h"

#include <doctest/doctest.h>

#include <vector>

namespace damaskroute {
namespace {

TEST_CASE("overlapping ranges are counted once, so coverage is never overstated") {
  KeyRangeSet set;
  set.Add({0, 100});
  set.Add({50, 150});
  set.Add({150, 200});
  CHECK(set.Size() == 200);
  CHECK(set.ranges() == std::vector<KeyRange>{{0, 200}});
}

TEST_CASE("missing ranges are exactly the gaps") {
  KeyRangeSet set;
  set.Add({10, 20});
  set.Add({30, 40});
  CHECK(set.MissingFrom({0, 50}) == std::vector<KeyRange>{{0, 10}, {20, 30}, {40, 50}});
  CHECK(set.MissingFrom({12, 18}).empty());
  set.Remove({12, 15});
  CHECK(set.MissingFrom({10, 20}) == std::vector<KeyRange>{{12, 15}});
}

TEST_CASE("range headers that are reversed, out of range or malformed are rejected") {
  CHECK(ParseKeyRange("5-10") == KeyRange{5, 10});
  for (const char* text : {"", "-", "10-5", "5-5", "5-10x", "0-4294967297", "x5-10", "5-"}) {
    CHECK_FALSE(ParseKeyRange(text).has_value());
  }
}

}  // namespace
}  // namespace damaskroute
