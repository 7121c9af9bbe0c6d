#include "standins/standin_settings.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "standins/service_time.h"

namespace damaskroute::standins {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE(
    "defaults apply to all backend servers, whether they precede or follow them in the file") {
  auto settings = ParseStandinSettings(R"(
threads: 2
control: 127.0.0.1:9000
backends:
  - {name: b1, endpoint: 127.0.0.1:9001, versions: {1: [0-10, 20-30], 2: []}}
  - {name: b2, endpoint: 127.0.0.1:9002, slots: 5}
defaults: {slots: 3, service_time: 2ms}
platform: {endpoint: 127.0.0.1:9500, delay: 1s}
)",
                                       "f.yaml");
  REQUIRE(settings.ok());
  REQUIRE(settings->backends.size() == 2);
  CHECK(settings->backends[0].options.slots == 3);
  CHECK(settings->backends[0].versions == HeldVersions{{1, {{0, 10}, {20, 30}}}, {2, {}}});
  CHECK(settings->backends[1].options.slots == 5);
  CHECK(settings->backends[1].options.service_time == milliseconds(2));
  CHECK(settings->platform->options.delay == std::chrono::seconds(1));
}

TEST_CASE("the first error is reported with file, line and column") {
  struct Row {
    const char* text;
    const char* position;
  };
  const std::vector<Row> rows = {
      {"[]", "f.yaml:1:1: "},
      {"thread: 1", "f.yaml:1:1: "},
      {"threads: 0", "f.yaml:1:10: "},
      {"threads: [1]", "f.yaml:1:10: "},
      {"control: 10.0.0.1:80", "f.yaml:1:10: "},
      {"control: localhost:80", "f.yaml:1:10: "},
      {"defaults:\n  slots: many", "f.yaml:2:10: "},
      {"defaults:\n  slotz: 1", "f.yaml:2:3: "},
      {"defaults: {service_time: 5}", "f.yaml:1:26: "},
      {"defaults: {service_time: 5m}", "f.yaml:1:26: "},
      {"backends:\n  - {name: a}", "f.yaml:2:5: "},
      {"backends: [{name: a, endpoint: 127.0.0.1:1, versions: {1: [9-2]}}]", "f.yaml:1:60: "},
      {"backends: [{name: a, endpoint: 127.0.0.1:1}, {name: a, endpoint: 127.0.0.1:2}]",
       "f.yaml:1:46: "},
      {"platform: {}", "f.yaml:1:11: "},
      {"threads: 1\nthreads: 2", "f.yaml:2:1: "},
      {"defaults: {slots: 1, slots: 2}", "f.yaml:1:22: "},
      {"platform: {endpoint: 127.0.0.1:1, delays: 1s}", "f.yaml:1:35: "},
      {"platform: {endpoint: 127.0.0.1:1, delay: 1}", "f.yaml:1:42: "},
      {"backends: [{name: a, endpoint: 127.0.0.1:0}]", "f.yaml:1:32: "},
      {"threads: \"1", "f.yaml:1:"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    auto settings = ParseStandinSettings(row.text, "f.yaml");
    REQUIRE_FALSE(settings.ok());
    std::string message{settings.status().message()};
    CAPTURE(message);
    CHECK(message.starts_with(row.position));
    CHECK(message.find('\n') == std::string::npos);
  }
}

TEST_CASE(
    "stragglers have the configured probability and factor, and equal seeds give equal times") {
  BackendOptions options{.service_time = milliseconds(2), .straggler_probability = 0.01};
  Random random(7);
  Random same(7);
  int stragglers = 0;
  for (int i = 0; i < 100'000; ++i) {
    Duration time = DrawServiceTime(options, false, 1, random);
    REQUIRE(time == DrawServiceTime(options, false, 1, same));
    if (time == milliseconds(20)) ++stragglers;
    REQUIRE((time == milliseconds(20) || time == milliseconds(2)));
  }
  CHECK(stragglers > 900);
  CHECK(stragglers < 1100);
}

TEST_CASE("a cold server is slower, and each call above its limit slows it further") {
  BackendOptions options{.service_time = milliseconds(1), .cold_slots = 2, .cold_factor = 3};
  Random random(7);
  CHECK(DrawServiceTime(options, true, 2, random) == milliseconds(3));
  CHECK(DrawServiceTime(options, true, 3, random) == milliseconds(12));
  CHECK(DrawServiceTime(options, true, 4, random) == milliseconds(48));
  CHECK(DrawServiceTime(options, true, 4000, random) == std::chrono::hours(1));
  CHECK(DrawServiceTime(options, false, 4, random) == milliseconds(1));
}

}  // namespace
}  // namespace damaskroute::standins
