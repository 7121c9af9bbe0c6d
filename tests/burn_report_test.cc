#include "damaskroute/burn/burn_report.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

Objective MakeObjective(double latency_ratio, double coverage_ratio) {
  return {std::chrono::milliseconds(70), latency_ratio, coverage_ratio};
}

TEST_CASE("budgets and burn rates of an hour match the values calculated by hand") {
  // 60 minutes with 1,000 queries each. In each of the last 5 minutes, 30 are late, 1 is incomplete
  // and 10 are both; in each of the others, 5 are late.
  FrontCounters front{"desk", "shop", MakeObjective(0.99, 0.999), {}};
  for (int i = 0; i < 55; ++i) front.minutes.push_back({995, 5, 0, 0});
  for (int i = 0; i < 5; ++i) front.minutes.push_back({959, 30, 1, 10});
  BurnReport report = ComputeBurn({front});
  REQUIRE(report.rows.size() == 4);
  CHECK(report.period_minutes == 60);
  const BurnRow& latency = report.rows[2];
  // Missed: 55 * 5 + 5 * 40 = 475 of 60,000; allowed 600.
  CHECK(latency.kind == ObjectiveKind::kLatency);
  CHECK(latency.queries == 60'000);
  CHECK(latency.missed == 475);
  CHECK(latency.budget_left == doctest::Approx(1 - 475.0 / 600));
  // Last 5 minutes: 200 of 5,000 missed, 50 allowed.
  CHECK(latency.burn_5min == doctest::Approx(4));
  CHECK(latency.burn_1h == doctest::Approx(475.0 / 600));
  CHECK(latency.minutes.size() == 60);
  CHECK(latency.minutes.front() == doctest::Approx(0.5));
  CHECK(latency.minutes.back() == doctest::Approx(4));
  const BurnRow& coverage = report.rows[3];
  // Missed: 5 * 11 = 55; allowed 60. Last 5 minutes: 55 missed, 5 allowed.
  CHECK(coverage.missed == 55);
  CHECK(coverage.budget_left == doctest::Approx(1 - 55.0 / 60));
  CHECK(coverage.burn_5min == doctest::Approx(11));
}

TEST_CASE("burn windows cover the latest minutes, and an overspent budget is negative") {
  // 100 minutes; all missed queries are older than the last hour.
  FrontCounters front{"desk", "shop", MakeObjective(0.9, 0.9), {}};
  for (int i = 0; i < 40; ++i) front.minutes.push_back({0, 10, 0, 0});
  for (int i = 0; i < 60; ++i) front.minutes.push_back({10, 0, 0, 0});
  BurnRow latency = ComputeBurn({front}).rows[2];
  CHECK(latency.burn_1h == 0);
  // 400 missed of 1,000; allowed 100.
  CHECK(latency.budget_left == doctest::Approx(-3));
}

TEST_CASE("a customer's row sums only its own fronts, each with its own objective") {
  FrontCounters strict{"a", "shop", MakeObjective(0.99, 0.999), {{90, 10, 0, 0}}};
  FrontCounters loose{"b", "shop", MakeObjective(0.9, 0.999), {{300, 0, 0, 0}}};
  FrontCounters other{"c", "press", MakeObjective(0.9, 0.9), {}};
  BurnReport report = ComputeBurn({strict, loose, other});
  REQUIRE(report.rows.size() == 10);
  CHECK(report.rows[0].customer == "press");
  // Without queries, none of the budget is consumed.
  CHECK(report.rows[0].budget_left == 1);
  CHECK(report.rows[0].burn_5min == 0);
  // Allowed: 100 * 0.01 + 300 * 0.1 = 31; missed 10.
  const BurnRow& shop = report.rows[4];
  CHECK(shop.customer == "shop");
  CHECK(shop.front.empty());
  CHECK(shop.burn_5min == doctest::Approx(10.0 / 31));
}

TEST_CASE("all formats contain the numbers; HTML is escaped and has no external resources") {
  FrontCounters front{"<desk>", "shop", MakeObjective(0.99, 0.999), {{95, 5, 0, 0}}};
  BurnReport report = ComputeBurn({front});
  CHECK(BurnText(report).find("latency          100        5     -400.0%      5.00      5.00") !=
        std::string::npos);
  CHECK(BurnJson(report).find("\"objective\":\"latency\",\"queries\":100,\"missed\":5") !=
        std::string::npos);
  std::string page = BurnHtml(report);
  CHECK(page.find("&lt;desk&gt;: latency") != std::string::npos);
  CHECK(page.find("<desk>") == std::string::npos);
  CHECK(page.find("-400.0%") != std::string::npos);
  CHECK(page.find("name=\"viewport\"") != std::string::npos);
  CHECK(page.find("prefers-color-scheme: dark") != std::string::npos);
  for (const char* external : {"http://", "https://", "<script", "url("}) {
    CHECK(page.find(external) == std::string::npos);
  }
}

}  // namespace
}  // namespace damaskroute
