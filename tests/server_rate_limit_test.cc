#include <doctest/doctest.h>

#include <algorithm>

#include "fmt/format.h"
#include "tests/support/platform_fixture.h"

// Backend servers that state in their responses how many requests per second they accept from all
// nodes together. Within any 4 s they may get one and a half times that many and 5 more.

namespace damaskroute {
namespace {

using std::chrono::seconds;

constexpr seconds kWindow{4};

// Greatest number of arrivals within any window.
std::size_t MaxWithinWindow(const std::vector<TimePoint>& arrivals) {
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    auto last = std::lower_bound(first, arrivals.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

std::size_t MaxAllowed(double per_second) {
  return static_cast<std::size_t>(1.5 * per_second * static_cast<double>(kWindow.count()) + 5);
}

TEST_CASE("a server that states a rate limit does not get more requests than it allows") {
  PlatformFixture w;
  auto& limited = w.AddServer("i-1", "desk");
  REQUIRE(w.StartServing(1));
  limited.SetRateLimit("2");
  for (int i = 0; i < 60; ++i) w.Get("/one/x", fmt::format("id-{}", i));
  CHECK(limited.arrivals().size() > 1);
  CHECK(MaxWithinWindow(limited.arrivals()) <= MaxAllowed(2));
}

}  // namespace
}  // namespace damaskroute
