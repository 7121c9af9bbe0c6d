#include "benchmark/model/forward_model.h"

#include <doctest/doctest.h>

#include <cmath>

#include "benchmark/model/experiment.h"
#include "benchmark/model/named_days.h"
#include "benchmark/model/parse_policy.h"

namespace damaskroute::model {
namespace {

using std::chrono::milliseconds;

ModelDay Day(const char* name) {
  auto day = NamedDay(name);
  REQUIRE(day.ok());
  return *day;
}

ModelResult RunModel(const ModelDay& day, std::uint64_t seed = 1, const ModelPolicy& policy = {}) {
  return ForwardModel(day, policy, seed).Run();
}

// Returns the number of queries that are answered in time, also after a retry, when the load is
// multiplied by `factor`.
double Goodput(double factor) {
  ModelDay day = Day("quiet");
  for (ModelQueryClass& kind : day.classes) kind.queries_per_second *= factor;
  std::uint64_t in_time = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    ModelResult result = RunModel(day, seed);
    in_time += result.in_time + result.in_time_on_retry;
  }
  return static_cast<double>(in_time);
}

TEST_CASE("equal seeds give equal results, so an experiment can be repeated") {
  ModelResult first = RunModel(Day("cut"), 5);
  ModelResult second = RunModel(Day("cut"), 5);
  CHECK(first.queries > 1000);
  CHECK(first.queries == second.queries);
  CHECK(first.calls == second.calls);
  CHECK(first.earned_value == second.earned_value);
}

TEST_CASE("each query ends exactly once on every day") {
  for (const char* name : {"quiet", "slow", "dark", "cut", "crowd", "limited"}) {
    CAPTURE(name);
    ModelResult result = RunModel(Day(name));
    CHECK(result.queries ==
          result.in_time + result.in_time_on_retry + result.late + result.refused + result.failed);
    CHECK(result.earned_value <= result.total_value);
  }
}

TEST_CASE("without faults and pauses each query is answered completely and in time") {
  ModelDay day = Day("quiet");
  day.pause_interval = milliseconds(0);
  ModelResult result = RunModel(day);
  CHECK(result.failed + result.refused == 0);
  CHECK(result.credit() >= 0.98);
}

TEST_CASE("servers that state a rate limit get no more calls than it allows") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    CHECK(RunModel(Day("limited"), seed).over_rate_limit == 0);
  }
}

// Guards against hedged calls that go to a server which pauses as well, or that are sent too late.
// A part cannot arrive in time if both servers pause within the objective of the same query.
TEST_CASE("answers lack parts no more often than both servers of a shard pause") {
  ModelDay day = Day("quiet");
  double pausing = static_cast<double>((day.pause + day.classes[0].objective).count()) /
                   static_cast<double>(day.pause_interval.count());
  double bound = 1 - std::pow(1 - pausing * pausing, day.shards);
  ModelResult result = RunModel(day);
  CHECK(static_cast<double>(result.partial) <= bound * static_cast<double>(result.queries));
}

// Overload target of the project: at twice the capacity, goodput is at least 0.9 of the goodput at
// the capacity. A shard has four slots and a call takes 16.7 ms on average, so the capacity is 240
// queries a second, which is 2.67 times the load of a usual day.
TEST_CASE("at twice the capacity goodput stays at nine tenths of that at capacity") {
  constexpr double kCapacity = 2.67;
  CHECK(Goodput(2 * kCapacity) >= 0.9 * Goodput(kCapacity));
}

// In a load spike without a limit, servers shed most calls after these have waited in full queues.
TEST_CASE("a limit on queries in progress raises the credit during a load spike") {
  Comparison comparison = Compare(Day("crowd"), {.limit_queries = false}, {}, 4);
  CHECK(comparison.difference.mean > comparison.difference.margin);
}

TEST_CASE("invalid policies and unknown days give errors that name what was expected") {
  auto policy = ParsePolicy("copy_after=0.25,extra_ratio=0.1,zone_cost_us=500,limit=off");
  REQUIRE(policy.ok());
  CHECK(policy->hedge_after == 0.25);
  CHECK(policy->extra_ratio == 0.1);
  CHECK(policy->zone_cost == std::chrono::microseconds(500));
  CHECK_FALSE(policy->limit_queries);
  CHECK(ParsePolicy("").ok());
  for (const char* text : {"copy_after=2", "copy_after=x", "copy_after", "limit=maybe", "wait=1"}) {
    CAPTURE(text);
    CHECK(ParsePolicy(text).status().message().find("expected") != absl::string_view::npos);
  }
  CHECK(NamedDay("noon").status().message().find("lonely_cut") != absl::string_view::npos);
}

TEST_CASE("the margin of a mean shrinks as the number of samples grows") {
  Estimate few = EstimateMean({1, 3});
  CHECK(few.mean == 2);
  CHECK(EstimateMean({1, 3, 1, 3, 1, 3, 1, 3}).margin < few.margin);
  CHECK(EstimateMean({5}).margin == 0);
}

}  // namespace
}  // namespace damaskroute::model
